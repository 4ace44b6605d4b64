#ifndef MEDLARCROFT_DECISION_TARGET_HEALTH_H_
#define MEDLARCROFT_DECISION_TARGET_HEALTH_H_

#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

enum class HealthState { kHealthy, kEjected, kProbing };

/// @brief Outlier detection: finds a slow or failing target from this host's
/// own measurements.
///
/// A target may answer several times more slowly than the others, or fail
/// immediately and thereby attract requests, while its own reports look normal.
/// A constant fraction of all callers would then get late answers or errors. A
/// target is an outlier if its latency is above three times the service's mean
/// over enough answers, if more than half of its attempts fail, or if five
/// consecutive attempts fail. After its ejection it is probed with one request
/// at a time. The caller of `Eject` limits how many targets are ejected at
/// once.
class TargetHealth {
 public:
  /// @param relative_latency the latency divided by the service's mean.
  void OnAnswer(double relative_latency, Duration latency);
  void OnFailure();

  /// @return whether the target is healthy so far and should be ejected, if the
  /// limit on ejected targets allows it.
  [[nodiscard]] bool IsOutlier() const;

  void Eject(MonotonicTime now);
  /// Changes from ejected to probing when the ejection ends, and from probing
  /// to healthy or ejected depending on the results of the probes.
  /// @return whether the state has changed.
  bool Update(MonotonicTime now);

  [[nodiscard]] HealthState State() const { return state_; }
  /// @return when the ejection ends; `MonotonicTime::max()` if not ejected.
  [[nodiscard]] MonotonicTime NextChange() const;

  /// @return mean latency relative to the service's mean; 1 if there are too
  /// few samples.
  [[nodiscard]] double RelativeLatency() const;
  /// @return a lower bound of the mean relative latency, one standard error
  /// below the measured mean.
  [[nodiscard]] double OptimisticRelativeLatency() const;
  [[nodiscard]] double FailureRatio() const { return failure_ratio_; }
  [[nodiscard]] Duration Latency() const { return latency_; }

 private:
  HealthState state_ = HealthState::kHealthy;
  MonotonicTime ejected_until_{};
  Duration next_ejection_duration_ = std::chrono::seconds(5);
  double relative_latency_mean_ = 1.0;
  double failure_ratio_ = 0.0;
  Duration latency_{0};
  std::uint32_t answer_count_ = 0;
  std::uint32_t attempt_count_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t probe_count_ = 0;
  double probe_latency_sum_ = 0.0;
  bool has_probe_failed_ = false;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_TARGET_HEALTH_H_
