#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_GAUGES_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_GAUGES_H_

#include "adapters/entry/claim_worker.h"
#include "adapters/entry/idempotency_guard.h"
#include "adapters/entry/request_engine.h"
#include "adapters/http/listener_metrics.h"
#include "medlarcroft/capacity/capacity_manager.h"
#include "medlarcroft/telemetry/gauge_group.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

/// @brief Gauges of entryd's current state. They are computed only when metrics
/// are read, so they add no cost to a request.
class EntryGauges {
 public:
  struct Sources {
    const RequestEngine& engine;
    const IdempotencyGuard& keys;
    const capacity::CapacityManager& capacity;
    const ClaimWorker& claims;
  };

  EntryGauges(telemetry::MetricsRegistry& metrics, const Sources& sources);

  /// @brief Includes the counters of the HTTP listener from now on.
  void WatchListener(const HttpServerCounters& counters) {
    listener_.Watch(counters);
  }

  void Refresh();

 private:
  void RefreshSlots();

  telemetry::MetricsRegistry& metrics_;
  const Sources sources_;
  ListenerMetrics listener_;
  telemetry::GaugeGroup slots_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_GAUGES_H_
