#ifndef MEDLARCROFT_ADAPTERS_STEER_PEER_SERVICE_H_
#define MEDLARCROFT_ADAPTERS_STEER_PEER_SERVICE_H_

#include <cstddef>

#include "adapters/steer/catalogue_sync.h"
#include "adapters/steer/steer_core.h"
#include "gen-cpp/Peer.h"

namespace medlarcroft::adapters {

/// @brief Why a peer's call is refused; `code` of a `wire::PeerRefusal`.
enum class PeerRefusalCode : std::int32_t {
  kProtocolVersion = 1,
  kNotSelf = 2,
};

/// @brief The Thrift service that steerd offers to the steerds of other hosts.
class PeerService final : public wire::PeerIf {
 public:
  PeerService(SteerCore& core,
              CatalogueSync& catalogue_sync,
              std::size_t message_bytes)
      : core_(core),
        catalogue_sync_(catalogue_sync),
        message_bytes_(message_bytes) {}

  void exchange(wire::Exchange& answer, const wire::Exchange& request) override;
  void changes_since(wire::CatalogueDelta& answer,
                     std::int64_t revision,
                     std::int32_t limit) override;

 private:
  SteerCore& core_;
  CatalogueSync& catalogue_sync_;
  const std::size_t message_bytes_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_PEER_SERVICE_H_
