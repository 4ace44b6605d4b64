#include "medlarcroft/request_path/region_balance.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::request_path {

namespace {

// Standard deviations of a share's random change that the limit leaves free.
// The limit holds for each of many windows, so it must not be met by chance.
constexpr double kReservedDeviations = 5.0;
// Largest part of the limit that is planned, however many requests there are:
// failing targets and retries move requests, too.
constexpr double kMaxPlannedFraction = 0.4;
// From this utilization on, requests wait in the queues of targets.
constexpr double kFullUtilization = 0.9;
// Moved objects are processed anew at first, so a smaller difference is not
// worth a move.
constexpr double kMinDifference = 0.3;
// Difference beyond the smallest one from which the permitted rate is used up.
constexpr double kFullUrgencyDifference = 0.4;
// Share that a region without recent load reports gets, for some reports a
// second.
constexpr double kProbingShare = 0.02;
constexpr double kRateTimeConstantSeconds = 4.0;

using Shares = std::map<RegionName, double>;

RegionUtilization::const_iterator MostUtilized(
    const Shares& shares,
    const RegionUtilization& utilization) {
  auto most = utilization.end();
  for (auto region = utilization.begin(); region != utilization.end();
       ++region) {
    const auto share = shares.find(region->first);
    const bool has_share = share != shares.end() && share->second > 0;
    if (has_share &&
        (most == utilization.end() || region->second > most->second)) {
      most = region;
    }
  }
  return most;
}

std::optional<RegionName> RegionToProbe(const Shares& shares,
                                        const RegionUtilization& utilization) {
  for (const auto& [region, share] : shares) {
    if (share < kProbingShare && !utilization.contains(region)) {
      return region;
    }
  }
  return std::nullopt;
}

}  // namespace

double MaxBalancingShift(const ShiftLimit& limit, double requests_per_window) {
  if (requests_per_window <= 0) {
    return 0;
  }
  // A share's variance is at most 1/4 per request, and both windows vary.
  const double deviation = std::sqrt(0.5 / requests_per_window);
  const double planned =
      std::clamp(limit.fraction - kReservedDeviations * deviation, 0.0,
                 kMaxPlannedFraction * limit.fraction);
  return planned / ToSeconds(limit.window);
}

std::optional<RegionTransfer> FindTransfer(
    const std::map<RegionName, double>& shares,
    const RegionUtilization& utilization) {
  const auto from = MostUtilized(shares, utilization);
  if (from == utilization.end() || from->second < kFullUtilization) {
    return std::nullopt;
  }
  if (const auto unknown = RegionToProbe(shares, utilization)) {
    return RegionTransfer{.from = from->first, .to = *unknown, .urgency = 1.0};
  }
  const auto to = std::min_element(utilization.begin(), utilization.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second < right.second;
                                   });
  const double excess = from->second - to->second - kMinDifference;
  if (excess <= 0) {
    return std::nullopt;
  }
  return RegionTransfer{
      .from = from->first,
      .to = to->first,
      .urgency = std::min(1.0, excess / kFullUrgencyDifference)};
}

void DecayedRate::OnEvent(MonotonicTime now) {
  count_ = PerSecond(now) * kRateTimeConstantSeconds + 1.0;
  updated_at_ = now;
}

double DecayedRate::PerSecond(MonotonicTime now) const {
  const double age = ToSeconds(now - updated_at_);
  return count_ / kRateTimeConstantSeconds *
         std::exp(-age / kRateTimeConstantSeconds);
}

}  // namespace medlarcroft::request_path
