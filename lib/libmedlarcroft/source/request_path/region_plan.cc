#include "medlarcroft/request_path/region_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace medlarcroft::request_path {

namespace {

// Wishes count for about this long: a few requests must not move the plan, and
// a wave must.
constexpr double kWishSeconds = 1.0;
// With fewer (decayed) wishes than this the plan stays.
constexpr double kEnoughWishes = 2.0;

/// Uniform in (0, 1), the same on every host.
double UnitOf(std::uint64_t key, const RegionName& region) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(region.Value().data(), region.Value().size(), key);
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

double Sum(const std::map<RegionName, double>& parts) {
  double sum = 0;
  for (const auto& [region, part] : parts) {
    sum += part;
  }
  return sum;
}

}  // namespace

RegionPlan::RegionPlan(RegionName own_region, const RegionPlanOptions& options)
    : own_region_(std::move(own_region)), options_(options) {}

void RegionPlan::Observe(const RegionName& best,
                         const RegionSlots& slots,
                         MonotonicTime now) {
  if (shares_.empty()) {
    Begin(slots);
    moved_at_ = now;
  }
  DropEmptyRegions(slots);
  const Duration elapsed = std::max(now - moved_at_, Duration(0));
  moved_at_ = now;
  const double kept = std::exp(-ToSeconds(elapsed) / kWishSeconds);
  for (auto& [region, wish] : wishes_) {
    wish *= kept;
  }
  wishes_[best] += 1.0;
  MoveTowardsWish(elapsed);
}

void RegionPlan::Begin(const RegionSlots& slots) {
  // Nothing is known of demand yet: taken as equal everywhere, a region keeps
  // what its slots bear and the rest goes where slots are left over.
  const double all = Sum(slots);
  const auto regions = static_cast<double>(slots.size());
  if (all <= 0) {
    return;
  }
  std::map<RegionName, double> spare;
  double own = 0;
  for (const auto& [region, count] : slots) {
    const double bears = count / all * regions;
    if (region == own_region_) {
      own = std::min(1.0, bears);
    } else if (bears > 1.0) {
      spare[region] = bears - 1.0;
    }
  }
  const double all_spare = Sum(spare);
  shares_[own_region_] = all_spare > 0 ? own : 1.0;
  for (const auto& [region, part] : spare) {
    shares_[region] = (1.0 - own) * part / all_spare;
  }
}

void RegionPlan::DropEmptyRegions(const RegionSlots& slots) {
  double dropped = 0;
  for (auto& [region, share] : shares_) {
    const auto found = slots.find(region);
    if (found == slots.end() || found->second <= 0) {
      dropped += std::exchange(share, 0.0);
    }
  }
  if (dropped <= 0) {
    return;
  }
  double all = 0;
  for (const auto& [region, count] : slots) {
    all += count;
  }
  for (const auto& [region, count] : slots) {
    if (count > 0) {
      shares_[region] += dropped * count / all;
    }
  }
}

void RegionPlan::MoveTowardsWish(Duration elapsed) {
  const double wished = Sum(wishes_);
  if (wished < kEnoughWishes) {
    return;
  }
  for (const auto& [region, wish] : wishes_) {
    shares_.try_emplace(region, 0.0);
  }
  double distance = 0;
  for (const auto& [region, share] : shares_) {
    const auto wish = wishes_.find(region);
    const double wanted = wish == wishes_.end() ? 0 : wish->second / wished;
    distance += std::max(0.0, wanted - share);
  }
  if (distance <= 0) {
    return;
  }
  const double most = options_.most_moved_per_second * ToSeconds(elapsed);
  const double step = std::min(1.0, most / distance);
  for (auto& [region, share] : shares_) {
    const auto wish = wishes_.find(region);
    const double wanted = wish == wishes_.end() ? 0 : wish->second / wished;
    share += step * (wanted - share);
  }
}

RegionName RegionPlan::Choose(std::uint64_t key) const {
  RegionName chosen = own_region_;
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [region, share] : shares_) {
    if (share <= 0) {
      continue;
    }
    const double score = -std::log(UnitOf(key, region)) / share;
    if (score < least) {
      least = score;
      chosen = region;
    }
  }
  return chosen;
}

}  // namespace medlarcroft::request_path
