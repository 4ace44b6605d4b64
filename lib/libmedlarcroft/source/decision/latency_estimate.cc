#include "medlarcroft/decision/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::decision {
namespace {

constexpr double kFirstBucketSeconds = 10e-6;
constexpr double kBucketsPerOctave = 8.0;
constexpr double kQuantileWindowSamples = 2000.0;
// The mean covers fewer samples than the quantiles. When targets slow down at
// full saturation, a slower mean would still reflect the earlier, faster
// answers. The predicted wait would be too short, so callers would be queued
// and refused late. At a few hundred answers per second, the mean follows a
// change within a second.
constexpr double kMeanWindowSamples = 200.0;
constexpr double kMinSamples = 20.0;
constexpr std::uint32_t kRecomputeIntervalSamples = 16;
// While only the expected mean is known, the 95th percentile is assumed to be
// twice as long.
constexpr int kHintPercentile95Factor = 2;

}  // namespace

LatencyEstimate::LatencyEstimate(Duration hint) : hint_(hint) {}

void LatencyEstimate::Add(Duration latency) {
  const double seconds = std::max(ToSeconds(latency), kFirstBucketSeconds);
  const double position =
      std::log2(seconds / kFirstBucketSeconds) * kBucketsPerOctave;
  const auto bucket = static_cast<std::size_t>(
      std::clamp(position, 0.0, static_cast<double>(kBucketCount - 1)));

  weights_[bucket] += 1.0;
  total_weight_ += 1.0;

  mean_sample_count_ = std::min(mean_sample_count_ + 1.0, kMeanWindowSamples);
  recent_mean_seconds_ += (seconds - recent_mean_seconds_) / mean_sample_count_;

  if (total_weight_ >= kQuantileWindowSamples)
    HalveWeights();
  if (++samples_since_recompute_ >= kRecomputeIntervalSamples)
    RecomputeQuantiles();
}

void LatencyEstimate::SetHint(Duration hint) {
  hint_ = hint;
}

bool LatencyEstimate::IsMeasured() const {
  return total_weight_ >= kMinSamples && percentile95_ > Duration(0);
}

Duration LatencyEstimate::Mean() const {
  return IsMeasured() ? FromSeconds(recent_mean_seconds_) : hint_;
}

Duration LatencyEstimate::Median() const {
  return IsMeasured() ? median_ : hint_;
}

Duration LatencyEstimate::Percentile95() const {
  return IsMeasured() ? percentile95_ : hint_ * kHintPercentile95Factor;
}

void LatencyEstimate::HalveWeights() {
  for (double& weight : weights_)
    weight *= 0.5;
  total_weight_ *= 0.5;
}

void LatencyEstimate::RecomputeQuantiles() {
  samples_since_recompute_ = 0;
  median_ = Quantile(0.5);
  percentile95_ = Quantile(0.95);
}

Duration LatencyEstimate::Quantile(double fraction) const {
  const double target_weight = total_weight_ * fraction;
  double cumulative_weight = 0;
  std::size_t bucket = 0;
  while (bucket + 1 < kBucketCount) {
    cumulative_weight += weights_[bucket];
    if (cumulative_weight >= target_weight)
      break;
    ++bucket;
  }
  // Returns the upper edge of the bucket, so that the quantile is rather too
  // high than too low.
  const double octaves = static_cast<double>(bucket + 1) / kBucketsPerOctave;
  return FromSeconds(kFirstBucketSeconds * std::exp2(octaves));
}

}  // namespace medlarcroft::decision
