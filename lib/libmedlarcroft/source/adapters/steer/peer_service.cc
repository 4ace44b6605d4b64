#include "adapters/steer/peer_service.h"

#include <algorithm>

#include "adapters/peer/wire_conversion.h"
#include "adapters/platform/catalogue_wire_conversion.h"
#include "gen-cpp/medlarcroft_constants.h"

namespace medlarcroft::adapters {

namespace {

void RequireProtocolVersion(std::int32_t version) {
  const std::int32_t own_version =
      wire::g_medlarcroft_constants.PROTOCOL_VERSION;
  if (version == own_version) {
    return;
  }
  wire::PeerRefusal refusal;
  refusal.code = static_cast<std::int32_t>(PeerRefusalCode::kProtocolVersion);
  refusal.message = "protocol version";
  refusal.protocol_version = own_version;
  throw refusal;
}

}  // namespace

void PeerService::exchange(wire::Exchange& answer,
                           const wire::Exchange& request) {
  RequireProtocolVersion(request.protocol_version);
  core_.Receive(FromWire(request));
  catalogue_sync_.RecordPeerRevision(
      static_cast<std::uint64_t>(
          std::max<std::int64_t>(0, request.catalogue_revision)),
      request.sender.peer_address);
  answer = ToWire(
      core_.MakeExchange(message_bytes_,
                         FailureDomainName(request.sender.failure_domain)),
      core_.Catalogue()->Revision());
}

void PeerService::changes_since(wire::CatalogueDelta& answer,
                                std::int64_t revision,
                                std::int32_t limit) {
  answer = ToWire(catalogue_sync_.DeltaSince(
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, revision)),
      static_cast<std::size_t>(std::max(0, limit))));
}

}  // namespace medlarcroft::adapters
