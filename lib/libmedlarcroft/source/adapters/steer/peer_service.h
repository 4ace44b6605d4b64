#ifndef MEDLARCROFT_ADAPTERS_STEER_PEER_SERVICE_H_
#define MEDLARCROFT_ADAPTERS_STEER_PEER_SERVICE_H_

#include <cstddef>

#include "adapters/steer/catalogue_sync.h"
#include "adapters/steer/steer_core.h"
#include "gen-cpp/Peer.h"

namespace medlarcroft::adapters {

/// @brief Why a peer's call is refused; the code of a `wire::PeerRefusal`.
enum class PeerRefusalCode : std::int32_t {
  kProtocolVersion = 1,
  kNotSelf = 2,
};

/// @brief What steerd serves to the steerds of other hosts.
class PeerService final : public wire::PeerIf {
 public:
  PeerService(SteerCore& core,
              CatalogueAgent& catalogue,
              std::size_t message_bytes)
      : core_(core), catalogue_(catalogue), message_bytes_(message_bytes) {}

  void exchange(wire::Exchange& answer, const wire::Exchange& mine) override;
  void changes_since(wire::CatalogueDelta& answer,
                     std::int64_t revision,
                     std::int32_t limit) override;

 private:
  SteerCore& core_;
  CatalogueAgent& catalogue_;
  const std::size_t message_bytes_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PEER_SERVICE_H_
