#include "medlarcroft/request_path/region_load.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::request_path {

namespace {

// Time constant of the mean: queues fill and empty within seconds.
constexpr double kReportTimeConstantSeconds = 1.0;
// Smallest weight of one report, however soon it follows the previous one.
constexpr double kMinGain = 0.05;
constexpr Duration kMaxReportAge = std::chrono::seconds(3);

}  // namespace

void RegionLoad::OnReport(const RegionName& region,
                          double other_hosts_load,
                          MonotonicTime now) {
  const auto [found, is_first] = means_.try_emplace(
      region, Mean{.value = other_hosts_load, .updated_at = now});
  if (is_first) {
    return;
  }
  Mean& mean = found->second;
  const double age = ToSeconds(now - mean.updated_at);
  const double gain =
      std::max(kMinGain, 1.0 - std::exp(-age / kReportTimeConstantSeconds));
  mean.value += gain * (other_hosts_load - mean.value);
  mean.updated_at = now;
}

std::optional<double> RegionLoad::MeanOf(const RegionName& region) const {
  const auto found = means_.find(region);
  return found == means_.end() ? std::nullopt
                               : std::optional(found->second.value);
}

bool RegionLoad::IsRecent(const RegionName& region, MonotonicTime now) const {
  const auto found = means_.find(region);
  return found != means_.end() &&
         now - found->second.updated_at <= kMaxReportAge;
}

}  // namespace medlarcroft::request_path
