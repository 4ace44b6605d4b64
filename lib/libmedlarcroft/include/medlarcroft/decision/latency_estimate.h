#ifndef MEDLARCROFT_DECISION_LATENCY_ESTIMATE_H_
#define MEDLARCROFT_DECISION_LATENCY_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief Mean, median and 95th percentile of a service's recent latencies.
///
/// Uses logarithmic buckets of 9% width, starting at 10 µs. All bucket weights
/// are halved whenever their sum reaches the window size, so that the quantiles
/// cover about the last two thousand samples. The expected service time from
/// the catalogue is used until there are enough samples.
class LatencyEstimate {
 public:
  explicit LatencyEstimate(Duration hint);

  void Add(Duration latency);
  /// Replaces the hint and keeps the samples.
  void SetHint(Duration hint);

  [[nodiscard]] bool IsMeasured() const;
  [[nodiscard]] Duration Mean() const;
  [[nodiscard]] Duration Median() const;
  [[nodiscard]] Duration Percentile95() const;

 private:
  static constexpr std::size_t kBucketCount = 208;

  void HalveWeights();
  void RecomputeQuantiles();
  [[nodiscard]] Duration Quantile(double fraction) const;

  Duration hint_;
  std::array<double, kBucketCount> weights_{};
  double total_weight_ = 0;
  double mean_sample_count_ = 0;
  double recent_mean_seconds_ = 0;
  std::uint32_t samples_since_recompute_ = 0;
  // Cached, because computing a quantile scans all buckets.
  Duration median_{0};
  Duration percentile95_{0};
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_LATENCY_ESTIMATE_H_
