#ifndef MEDLARCROFT_ADAPTERS_HTTP_LISTENER_METRICS_H_
#define MEDLARCROFT_ADAPTERS_HTTP_LISTENER_METRICS_H_

#include <atomic>

#include "adapters/http/http_server.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

/// @brief Metrics of a daemon's HTTP listener. The listener itself serves the
/// metrics page, so its threads may call `Refresh` before `Watch`; the values
/// then stay 0.
class ListenerMetrics {
 public:
  explicit ListenerMetrics(telemetry::MetricsRegistry& metrics);

  /// @param counters must outlive the listener's last response.
  void Watch(const HttpServerCounters& counters) { counters_ = &counters; }

  /// @brief Copies the counters' values; called when metrics are read.
  void Refresh();

 private:
  std::atomic<const HttpServerCounters*> counters_{nullptr};
  telemetry::Counter& connections_;
  telemetry::Counter& requests_;
  telemetry::Counter& bodies_too_large_;
  telemetry::Counter& client_errors_;
  telemetry::Gauge& in_flight_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_LISTENER_METRICS_H_
