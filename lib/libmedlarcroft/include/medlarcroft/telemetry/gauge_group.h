#ifndef MEDLARCROFT_TELEMETRY_GAUGE_GROUP_H_
#define MEDLARCROFT_TELEMETRY_GAUGE_GROUP_H_

#include <mutex>
#include <span>
#include <vector>

#include "medlarcroft/telemetry/label.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::telemetry {

/// @brief The labels and value of one series.
struct GaugeValue {
  Labels labels;
  double value = 0;
};

/// @brief Gauges of one name whose label sets change over time.
///
/// If the series of a traffic shift kept its last value after the shift ended,
/// operators would see a shift that no longer exists. A series that is not in
/// the latest update is therefore set to 0, which keeps it exported.
/// Thread-safe.
class GaugeGroup {
 public:
  /// @param metrics must outlive this object.
  GaugeGroup(MetricsRegistry& metrics, const MetricDescription& metric)
      : metrics_(metrics), metric_(metric) {}

  /// @brief Sets these series, and all earlier ones not among them to 0.
  void Set(std::span<const GaugeValue> values);

 private:
  MetricsRegistry& metrics_;
  const MetricDescription metric_;
  std::mutex mutex_;
  std::vector<Gauge*> active_;
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_GAUGE_GROUP_H_
