#include "medlarcroft/request_path/service_times.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::request_path {

namespace {

// Weight of a new measurement: roughly the last thirty determine the mean.
constexpr double kGain = 0.03;
// Initial estimates: latency objectives are usually set between the processing
// times of warm and cold objects.
constexpr double kColdOverObjective = 1.3;
constexpr double kWarmOverCold = 0.4;
constexpr Duration kDefaultOwnRegionRoundTrip = std::chrono::milliseconds(2);
constexpr Duration kDefaultOtherRegionRoundTrip = std::chrono::milliseconds(80);
constexpr int kRoundTripGainDivisor = 8;
// A longest time is known for one to two of these.
constexpr Duration kLongestPeriod = std::chrono::seconds(15);

}  // namespace

void RegionDistances::OnConnected(const RegionName& region,
                                  Duration round_trip) {
  const auto [entry, is_new] = measured_.emplace(region, round_trip);
  if (!is_new) {
    entry->second += (round_trip - entry->second) / kRoundTripGainDivisor;
  }
}

Duration RegionDistances::RoundTrip(const RegionName& region) const {
  const auto found = measured_.find(region);
  if (found != measured_.end()) {
    return found->second;
  }
  return region == own_region_ ? kDefaultOwnRegionRoundTrip
                               : kDefaultOtherRegionRoundTrip;
}

ServiceTimes::ServiceTimes(Duration latency_objective)
    : cold_seconds_(kColdOverObjective * ToSeconds(latency_objective)),
      warm_seconds_(kWarmOverCold * cold_seconds_),
      mean_seconds_(warm_seconds_) {}

void ServiceTimes::OnWork(bool was_warm, Duration work) {
  double& seconds = was_warm ? warm_seconds_ : cold_seconds_;
  seconds += kGain * (ToSeconds(work) - seconds);
  mean_seconds_ += kGain * (ToSeconds(work) - mean_seconds_);
  // Requests that are wrongly assumed to be warm could otherwise make the warm
  // time exceed the cold time.
  warm_seconds_ = std::min(warm_seconds_, cold_seconds_);
}

Duration ServiceTimes::Work(bool is_warm) const {
  return FromSeconds(is_warm ? warm_seconds_ : cold_seconds_);
}

bool ServiceTimes::LooksWarm(Duration work) const {
  // Compares ratios, because the spread of processing times grows with their
  // length.
  return ToSeconds(work) < std::sqrt(warm_seconds_ * cold_seconds_);
}

Duration ServiceTimes::MeanWork() const {
  return FromSeconds(mean_seconds_);
}

void RecentLongest::OnTook(Duration duration, MonotonicTime now) {
  if (now - current_.begin >= kLongestPeriod) {
    previous_ = current_;
    current_ = {.begin = now};
  }
  current_.longest = std::max(current_.longest.value_or(duration), duration);
}

std::optional<Duration> RecentLongest::Longest(MonotonicTime now) const {
  std::optional<Duration> longest;
  for (const Period& period : {current_, previous_}) {
    const bool is_recent = now - period.begin < 2 * kLongestPeriod;
    if (is_recent && period.longest) {
      longest = std::max(longest.value_or(*period.longest), *period.longest);
    }
  }
  return longest;
}

}  // namespace medlarcroft::request_path
