#include "adapters/steer/peer_service.h"

#include <algorithm>

#include "adapters/peer/wire_conversion.h"
#include "adapters/platform/catalogue_wire_conversion.h"
#include "gen-cpp/medlarcroft_constants.h"

namespace medlarcroft::adapters {

namespace {

void RequireVersion(std::int32_t version) {
  const std::int32_t own = wire::g_medlarcroft_constants.PROTOCOL_VERSION;
  if (version == own) {
    return;
  }
  wire::PeerRefusal refusal;
  refusal.code = static_cast<std::int32_t>(PeerRefusalCode::kProtocolVersion);
  refusal.message = "protocol version";
  refusal.protocol_version = own;
  throw refusal;
}

}  // namespace

void PeerService::exchange(wire::Exchange& answer, const wire::Exchange& mine) {
  RequireVersion(mine.protocol_version);
  core_.Receive(FromWire(mine));
  catalogue_.NoteRevision(static_cast<std::uint64_t>(std::max<std::int64_t>(
                              0, mine.catalogue_revision)),
                          mine.sender.peer_address);
  answer =
      ToWire(core_.MakeExchange(message_bytes_,
                                FailureDomainName(mine.sender.failure_domain)),
             core_.Catalogue()->Revision());
}

void PeerService::changes_since(wire::CatalogueDelta& answer,
                                std::int64_t revision,
                                std::int32_t limit) {
  answer = ToWire(catalogue_.DeltaSince(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, revision)),
      static_cast<std::size_t>(std::max(0, limit))));
}

}  // namespace medlarcroft::adapters
