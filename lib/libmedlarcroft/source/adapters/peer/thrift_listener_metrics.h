#ifndef MEDLARCROFT_ADAPTERS_PEER_THRIFT_THRIFT_LISTENER_METRICS_H_
#define MEDLARCROFT_ADAPTERS_PEER_THRIFT_THRIFT_LISTENER_METRICS_H_

#include <atomic>
#include <string_view>

#include "adapters/peer/thrift_server.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

/// @brief Metrics of one Thrift listener. Bad input never reaches the parts
/// that count requests, so without these an operator would not see it.
class ThriftListenerMetrics {
 public:
  /// @param listener one of our constants.
  ThriftListenerMetrics(telemetry::MetricsRegistry& metrics,
                        std::string_view listener);

  /// @param counters outlive the last `Refresh`.
  void Watch(const ThriftServerCounters& counters) { counters_ = &counters; }

  /// @brief Takes over the counters' values; called when metrics are read.
  void Refresh();

 private:
  std::atomic<const ThriftServerCounters*> counters_{nullptr};
  telemetry::Counter& frames_;
  telemetry::Counter& bad_frames_;
  telemetry::Counter& connections_refused_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_THRIFT_THRIFT_LISTENER_METRICS_H_
