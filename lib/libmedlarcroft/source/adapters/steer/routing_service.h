#ifndef MEDLARCROFT_ADAPTERS_STEER_ROUTING_SERVICE_H_
#define MEDLARCROFT_ADAPTERS_STEER_ROUTING_SERVICE_H_

#include "adapters/steer/key_pool.h"
#include "adapters/steer/steer_core.h"
#include "gen-cpp/Routing.h"

namespace medlarcroft::adapters {

/// @brief The Thrift service that steerd offers to the entryd of its host.
class RoutingService final : public wire::RoutingIf {
 public:
  RoutingService(SteerCore& core, KeyPool& keys) : core_(core), keys_(keys) {}

  void snapshot(wire::RoutingSnapshot& answer,
                std::int64_t known_number,
                std::int32_t wait_ms) override;
  void report(wire::ReportAnswer& answer,
              const wire::EntryReport& report) override;

 private:
  SteerCore& core_;
  KeyPool& keys_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_ROUTING_SERVICE_H_
