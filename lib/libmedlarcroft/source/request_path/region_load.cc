#include "medlarcroft/request_path/region_load.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::request_path {

namespace {

// Reports count for about this long: queues fill and empty within seconds.
constexpr double kReportSeconds = 1.0;
// However close together they come, one report moves the mean by this much.
constexpr double kLeastGain = 0.05;

}  // namespace

void RegionLoad::OnReport(const RegionName& region,
                          double others,
                          MonotonicTime now) {
  const auto [found, is_first] =
      means_.try_emplace(region, Mean{.value = others, .noted_at = now});
  if (is_first) {
    return;
  }
  Mean& mean = found->second;
  const double age = ToSeconds(now - mean.noted_at);
  const double gain =
      std::max(kLeastGain, 1.0 - std::exp(-age / kReportSeconds));
  mean.value += gain * (others - mean.value);
  mean.noted_at = now;
}

std::optional<double> RegionLoad::MeanOf(const RegionName& region) const {
  const auto found = means_.find(region);
  return found == means_.end() ? std::nullopt
                               : std::optional(found->second.value);
}

}  // namespace medlarcroft::request_path
