#ifndef MEDLARCROFT_ADAPTERS_STEER_STEER_TELEMETRY_H_
#define MEDLARCROFT_ADAPTERS_STEER_STEER_TELEMETRY_H_

#include <string>
#include <string_view>

#include "adapters/http/listener_metrics.h"
#include "adapters/steer/peer_exchanger.h"
#include "adapters/steer/steer_core.h"
#include "medlarcroft/catalogue/catalogue_replica.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"
#include "medlarcroft/telemetry/gauge_group.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

/// @brief steerd's metrics. Look-ups are counted as they are answered; all
/// other values are read from their owners when the metrics page is requested.
class SteerTelemetry {
 public:
  struct Sources {
    SteerCore& core;
    const catalogue::CatalogueReplica& replica;
    const catalogue::PlatformRateLimiter& budget;
    const ExchangeCounters& exchanges;
  };

  explicit SteerTelemetry(const Sources& sources);

  /// @param service must exist in the catalogue; otherwise callers could create
  /// any number of time series.
  void CountLookup(const ServiceName& service, steering::LookupRule rule);
  void CountLookup(steering::LookupError error);
  void CountMalformedLookup();
  /// @param latency from the arrival of the request to its answer; failed
  /// look-ups count too.
  void RecordLookup(Duration latency) { lookup_seconds_.Record(latency); }

  /// @brief Includes the counters of the HTTP listener from now on.
  void WatchListener(const HttpServerCounters& counters) {
    listener_.Watch(counters);
  }

  /// @return the registry in which other components register their metrics.
  [[nodiscard]] telemetry::MetricsRegistry& Registry() { return metrics_; }

  /// @return all metrics in the Prometheus text format.
  [[nodiscard]] std::string FormatPrometheus();

 private:
  void CountFailedLookup(std::string_view outcome);
  void RefreshCatalogue();
  void RefreshMembers();
  void RefreshExchanges();
  void RefreshPlatform();
  void RefreshShifts();

  const Sources sources_;
  telemetry::MetricsRegistry metrics_;
  ListenerMetrics listener_;
  telemetry::LatencyHistogram& lookup_seconds_;
  telemetry::GaugeGroup shifts_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_TELEMETRY_H_
