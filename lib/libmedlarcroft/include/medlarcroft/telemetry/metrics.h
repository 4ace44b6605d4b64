#ifndef MEDLARCROFT_TELEMETRY_METRICS_H_
#define MEDLARCROFT_TELEMETRY_METRICS_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "medlarcroft/telemetry/label.h"
#include "medlarcroft/telemetry/latency_histogram.h"

namespace medlarcroft::telemetry {

/// @brief A counter of events; it never decreases while the process runs.
class Counter {
 public:
  void Add(std::uint64_t count = 1) {
    value_.fetch_add(count, std::memory_order_relaxed);
  }
  /// @brief Sets the counter to a count that is kept elsewhere; a lower count
  /// is ignored.
  void RaiseTo(std::uint64_t count) {
    std::uint64_t seen = Value();
    while (seen < count && !value_.compare_exchange_weak(
                               seen, count, std::memory_order_relaxed)) {
    }
  }
  [[nodiscard]] std::uint64_t Value() const {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// @brief A value that can increase and decrease.
class Gauge {
 public:
  void Set(double value) { value_.store(value, std::memory_order_relaxed); }
  [[nodiscard]] double Value() const {
    return value_.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<double> value_{0};
};

/// @brief Name and HELP text of a metric; constants in the code.
struct MetricDescription {
  std::string_view name;  ///< E.g. "medlar_requests_total".
  std::string_view help;
};

/// @brief All metrics of a process. Callers get their metrics once and keep the
/// references, which stay valid as long as the registry; updating a metric is
/// lock-free.
class MetricsRegistry {
 public:
  /// Maximum number of series per name; further label sets share one series
  /// with label overflow="true". Bounds memory when brands or targets come and
  /// go.
  static constexpr std::size_t kMaxSeries = 4096;

  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// @return the counter with these labels, created if it does not exist.
  Counter& CounterOf(const MetricDescription& metric, Labels labels = {});
  Gauge& GaugeOf(const MetricDescription& metric, Labels labels = {});
  LatencyHistogram& HistogramOf(const MetricDescription& metric,
                                Labels labels = {});

  /// @brief Adds a gauge whose value is computed by `read` on each export.
  /// `read` must stay callable as long as the registry exists, and must not use
  /// the registry.
  void AddGaugeSource(const MetricDescription& metric,
                      Labels labels,
                      std::function<double()> read);

  /// @return all metrics, sorted, in the Prometheus text format version 0.0.4.
  [[nodiscard]] std::string FormatPrometheus() const;

 private:
  struct Family;

  Family& FamilyOf(const MetricDescription& metric);

  mutable std::shared_mutex mutex_;
  std::map<std::string, std::unique_ptr<Family>, std::less<>> families_;
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_METRICS_H_
