#ifndef MEDLARCROFT_ADAPTERS_PEER_THRIFT_LISTENER_METRICS_H_
#define MEDLARCROFT_ADAPTERS_PEER_THRIFT_LISTENER_METRICS_H_

#include <atomic>
#include <string_view>

#include "adapters/peer/thrift_server.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

/// @brief Metrics of one Thrift listener. Malformed input never reaches the
/// components that count requests, so only these metrics show it to operators.
class ThriftListenerMetrics {
 public:
  /// @param listener value of the `listener` label; a string constant.
  ThriftListenerMetrics(telemetry::MetricsRegistry& metrics,
                        std::string_view listener);

  /// @param counters must outlive the last call of `Refresh`.
  void Watch(const ThriftServerCounters& counters) { counters_ = &counters; }

  /// @brief Copies the counter values; call it before each read of the metrics.
  void Refresh();

 private:
  std::atomic<const ThriftServerCounters*> counters_{nullptr};
  telemetry::Counter& frames_;
  telemetry::Counter& bad_frames_;
  telemetry::Counter& connections_refused_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_THRIFT_LISTENER_METRICS_H_
