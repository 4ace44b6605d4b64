#include "medlarcroft/decision/target_health.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::decision {
namespace {

// Weight of the newest sample in the moving averages, which covers about the
// last twenty samples.
constexpr double kNewestSampleWeight = 0.1;
// Samples are capped so that a single extreme answer cannot make a target an
// outlier.
constexpr double kMaxRelativeLatencySample = 10.0;
constexpr std::uint32_t kMinSamples = 10;
constexpr double kSlowRelativeLatency = 3.0;
constexpr double kMaxMeanProbeLatency = 2.0;
// A single probe slower than this fails the probing round. For a healthy target
// this happens in 1 of 400 probes.
constexpr double kMaxSingleProbeLatency = 6.0;
constexpr double kMaxFailureRatio = 0.5;
constexpr std::uint32_t kConsecutiveFailureLimit = 5;
// The standard deviation of service times is about as large as their mean. If
// each probe were held to kMaxMeanProbeLatency, a third of the probing rounds
// of a healthy target would end in another, longer ejection. The mean of five
// probes exceeds twice the service's mean in only 3% of the rounds.
constexpr std::uint32_t kRequiredProbes = 5;
constexpr Duration kMaxEjectionDuration = std::chrono::seconds(60);

}  // namespace

void TargetHealth::OnAnswer(double relative_latency, Duration latency) {
  const double sample = std::min(relative_latency, kMaxRelativeLatencySample);
  ++answer_count_;
  ++attempt_count_;
  consecutive_failures_ = 0;

  const double weight = std::max(kNewestSampleWeight, 1.0 / answer_count_);
  relative_latency_mean_ += weight * (sample - relative_latency_mean_);
  failure_ratio_ -= kNewestSampleWeight * failure_ratio_;
  latency_ +=
      std::chrono::duration_cast<Duration>(weight * (latency - latency_));

  if (state_ != HealthState::kProbing)
    return;
  ++probe_count_;
  probe_latency_sum_ += sample;
  has_probe_failed_ |= sample > kMaxSingleProbeLatency;
}

void TargetHealth::OnFailure() {
  ++attempt_count_;
  ++consecutive_failures_;
  failure_ratio_ += kNewestSampleWeight * (1.0 - failure_ratio_);
  if (state_ == HealthState::kProbing)
    has_probe_failed_ = true;
}

bool TargetHealth::IsOutlier() const {
  if (state_ != HealthState::kHealthy)
    return false;
  if (consecutive_failures_ >= kConsecutiveFailureLimit)
    return true;
  if (attempt_count_ >= kMinSamples && failure_ratio_ > kMaxFailureRatio) {
    return true;
  }
  return answer_count_ >= kMinSamples &&
         relative_latency_mean_ > kSlowRelativeLatency;
}

void TargetHealth::Eject(MonotonicTime now) {
  state_ = HealthState::kEjected;
  ejected_until_ = now + next_ejection_duration_;
  next_ejection_duration_ =
      std::min(next_ejection_duration_ * 2, kMaxEjectionDuration);
}

bool TargetHealth::Update(MonotonicTime now) {
  if (state_ == HealthState::kEjected && now >= ejected_until_) {
    state_ = HealthState::kProbing;
    probe_count_ = 0;
    probe_latency_sum_ = 0.0;
    has_probe_failed_ = false;
    return true;
  }
  if (state_ != HealthState::kProbing)
    return false;

  if (has_probe_failed_) {
    Eject(now);
    return true;
  }
  if (probe_count_ < kRequiredProbes)
    return false;
  if (probe_latency_sum_ > kMaxMeanProbeLatency * kRequiredProbes) {
    Eject(now);
    return true;
  }

  // Measurements from before the ejection are no longer valid.
  const Duration latency = latency_;
  *this = TargetHealth();
  latency_ = latency;
  return true;
}

MonotonicTime TargetHealth::NextChange() const {
  return state_ == HealthState::kEjected ? ejected_until_
                                         : MonotonicTime::max();
}

double TargetHealth::RelativeLatency() const {
  return answer_count_ >= kMinSamples ? relative_latency_mean_ : 1.0;
}

double TargetHealth::OptimisticRelativeLatency() const {
  // The standard deviation of service times is about as large as their mean, so
  // the relative standard error is 1/sqrt(samples). Samples beyond the
  // averaging window add no information.
  const double samples = std::clamp(static_cast<double>(answer_count_), 1.0,
                                    1.0 / kNewestSampleWeight);
  return std::max(0.1,
                  relative_latency_mean_ * (1.0 - 1.0 / std::sqrt(samples)));
}

}  // namespace medlarcroft::decision
