#include "medlarcroft/telemetry/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::telemetry {

namespace {

/// 10 µs to 100 s.
constexpr unsigned kDecades = 7;

}  // namespace

LatencyHistogram::LatencyHistogram(unsigned buckets_per_decade)
    : histogram_(Axis(kDecades * buckets_per_decade,
                      ToSeconds(kShortest),
                      ToSeconds(kLongest))) {}

void LatencyHistogram::Record(Duration duration) {
  // A duration of 0 has no logarithm; shorter durations count in the first
  // bucket.
  histogram_(ToSeconds(std::max(duration, kShortest)));
  sum_.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::Count() const {
  std::uint64_t count = 0;
  for (const LatencyBucket& bucket : Buckets()) {
    count += bucket.count;
  }
  return count;
}

Duration LatencyHistogram::Sum() const {
  return Duration(sum_.load(std::memory_order_relaxed));
}

std::optional<Duration> LatencyHistogram::Quantile(double quantile) const {
  const std::vector<LatencyBucket> buckets = Buckets();
  std::uint64_t total = 0;
  for (const LatencyBucket& bucket : buckets) {
    total += bucket.count;
  }
  if (total == 0) {
    return std::nullopt;
  }

  const auto wanted = std::max<std::uint64_t>(
      1, static_cast<std::uint64_t>(
             std::ceil(quantile * static_cast<double>(total))));
  std::uint64_t seen = 0;
  for (const LatencyBucket& bucket : buckets) {
    seen += bucket.count;
    if (seen >= wanted) {
      return bucket.upper_bound;
    }
  }
  return kLongest;
}

std::vector<LatencyBucket> LatencyHistogram::Buckets() const {
  const Axis& axis = histogram_.axis();
  std::vector<LatencyBucket> buckets;
  buckets.reserve(static_cast<std::size_t>(axis.size()) + 1);
  for (int i = 0; i < axis.size(); ++i) {
    buckets.push_back({.upper_bound = FromSeconds(axis.bin(i).upper()),
                       .count = histogram_.at(i).load()});
  }
  buckets.push_back(
      {.upper_bound = kLongest, .count = histogram_.at(axis.size()).load()});
  return buckets;
}

}  // namespace medlarcroft::telemetry
