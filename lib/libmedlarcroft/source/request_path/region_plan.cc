#include "medlarcroft/request_path/region_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace medlarcroft::request_path {

namespace {

// Time constant of the request counts. A burst of three seconds is over before
// the objects that it would move are warm elsewhere; a demand wave lasts
// longer.
constexpr double kOverflowDecaySeconds = 4.0;
// Smallest (decayed) number of requests from which overflow is inferred.
constexpr double kMinRequests = 2.0;
// When a smaller fraction of a region's requests finds no capacity there,
// single objects are popular, and moving other objects would not help them.
constexpr double kMinOverflowFraction = 0.1;
// After a pause in which no request came, requests must not move all at once.
constexpr Duration kMaxBalancingStep = std::chrono::milliseconds(500);
constexpr Duration kMaxStep = std::chrono::seconds(2);

/// Uniform in (0, 1), the same on every host.
double UniformHash(std::uint64_t key, const RegionName& region) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(region.Value().data(), region.Value().size(), key);
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

}  // namespace

double Sum(const std::map<RegionName, double>& values) {
  double sum = 0;
  for (const auto& [region, value] : values) {
    sum += value;
  }
  return sum;
}

RegionPlan::RegionPlan(RegionName own_region, const RegionPlanOptions& options)
    : own_region_(std::move(own_region)), options_(options) {}

void RegionPlan::Advance(const RegionSlots& slots,
                         const RegionSlots& free_slots,
                         MonotonicTime now) {
  if (shares_.empty()) {
    shares_ = SharesBySlots(free_slots);
    advanced_at_ = now;
  }
  DropEmptyRegions(slots, free_slots);
  for (const auto& [region, count] : free_slots) {
    if (count > 0) {
      shares_.try_emplace(region, 0.0);
    }
  }
  const Duration elapsed = std::max(now - advanced_at_, Duration(0));
  advanced_at_ = now;
  Decay(elapsed);
  if (transfer_) {
    return;
  }
  const std::optional<RegionShares> adjusted = SharesAfterOverflow();
  MoveTowards(
      adjusted ? *adjusted : SharesBySlots(free_slots),
      options_.max_shift_per_second * ToSeconds(std::min(elapsed, kMaxStep)));
}

void RegionPlan::Balance(const RegionUtilization& utilization,
                         double requests_per_second,
                         MonotonicTime now) {
  const Duration elapsed =
      std::clamp(now - balanced_at_, Duration(0), kMaxBalancingStep);
  balanced_at_ = now;
  const double rate = MaxBalancingShift(
      options_.balancing,
      requests_per_second * ToSeconds(options_.balancing.window));
  // At a lower rate, the plan moves faster by overflow alone.
  transfer_ = rate > options_.max_shift_per_second
                  ? FindTransfer(shares_, utilization)
                  : std::nullopt;
  if (!transfer_) {
    return;
  }
  double& from = shares_[transfer_->from];
  const double moved =
      std::min(from, transfer_->urgency * rate * ToSeconds(elapsed));
  from -= moved;
  shares_[transfer_->to] += moved;
}

void RegionPlan::Observe(
    const RegionName& planned,
    const std::optional<RegionName>& region_with_capacity) {
  Overflow& overflow = overflows_[planned];
  overflow.requests += 1.0;
  if (region_with_capacity) {
    overflow.overflowed[*region_with_capacity] += 1.0;
  }
}

void RegionPlan::Decay(Duration elapsed) {
  const double decay_factor =
      std::exp(-ToSeconds(elapsed) / kOverflowDecaySeconds);
  for (auto& [region, overflow] : overflows_) {
    overflow.requests *= decay_factor;
    for (auto& [region_with_capacity, count] : overflow.overflowed) {
      count *= decay_factor;
    }
  }
}

std::optional<RegionShares> RegionPlan::SharesAfterOverflow() const {
  RegionShares adjusted = shares_;
  bool has_overflow = false;
  for (const auto& [region, overflow] : overflows_) {
    const auto share = shares_.find(region);
    if (share == shares_.end() || overflow.requests < kMinRequests) {
      continue;
    }
    for (const auto& [region_with_capacity, count] : overflow.overflowed) {
      const double fraction = count / overflow.requests;
      if (fraction < kMinOverflowFraction) {
        continue;
      }
      has_overflow = true;
      adjusted[region] -= fraction * share->second;
      adjusted[region_with_capacity] += fraction * share->second;
    }
  }
  return has_overflow ? std::optional(adjusted) : std::nullopt;
}

RegionShares RegionPlan::SharesBySlots(const RegionSlots& slots) const {
  // The distribution of demand is unknown and assumed to be equal: each region
  // keeps as much as its slots can handle, and the rest goes to regions with
  // spare slots.
  RegionShares shares;
  const double total_slots = Sum(slots);
  const auto regions = static_cast<double>(slots.size());
  if (total_slots <= 0) {
    return shares;
  }
  RegionShares spare;
  double own_share = 0;
  for (const auto& [region, count] : slots) {
    const double relative_capacity = count / total_slots * regions;
    if (region == own_region_) {
      own_share = std::min(1.0, relative_capacity);
    } else if (relative_capacity > 1.0) {
      spare[region] = relative_capacity - 1.0;
    }
  }
  const double total_spare = Sum(spare);
  shares[own_region_] = total_spare > 0 ? own_share : 1.0;
  for (const auto& [region, part] : spare) {
    shares[region] = (1.0 - own_share) * part / total_spare;
  }
  return shares;
}

void RegionPlan::DropEmptyRegions(const RegionSlots& slots,
                                  const RegionSlots& free_slots) {
  double dropped = 0;
  std::erase_if(shares_, [&](const auto& item) {
    const auto found = slots.find(item.first);
    const bool is_empty = found == slots.end() || found->second <= 0;
    dropped += is_empty ? item.second : 0.0;
    return is_empty;
  });
  if (dropped <= 0) {
    return;
  }
  const double total_slots = Sum(free_slots);
  for (const auto& [region, count] : free_slots) {
    if (count > 0) {
      shares_[region] += dropped * count / total_slots;
    }
  }
}

void RegionPlan::MoveTowards(const RegionShares& desired, double max_shift) {
  for (const auto& [region, desired_share] : desired) {
    shares_.try_emplace(region, 0.0);
  }
  const auto desired_share_of = [&desired](const RegionName& region) {
    const auto found = desired.find(region);
    return found == desired.end() ? 0.0 : found->second;
  };
  double distance = 0;
  for (const auto& [region, share] : shares_) {
    distance += std::max(0.0, desired_share_of(region) - share);
  }
  if (distance <= 0) {
    return;
  }
  const double step = std::min(1.0, max_shift / distance);
  for (auto& [region, share] : shares_) {
    share += step * (desired_share_of(region) - share);
  }
}

RegionName RegionPlan::Choose(std::uint64_t key) const {
  RegionName chosen = own_region_;
  double lowest_score = std::numeric_limits<double>::infinity();
  for (const auto& [region, share] : shares_) {
    if (share <= 0) {
      continue;
    }
    const double score = -std::log(UniformHash(key, region)) / share;
    if (score < lowest_score) {
      lowest_score = score;
      chosen = region;
    }
  }
  return chosen;
}

}  // namespace medlarcroft::request_path
