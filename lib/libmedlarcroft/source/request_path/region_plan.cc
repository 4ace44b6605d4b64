#include "medlarcroft/request_path/region_plan.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace medlarcroft::request_path {

namespace {

// What requests met counts for about this long: a burst of three seconds is
// over before objects that it would move are warm elsewhere, a wave is not.
constexpr double kPressureSeconds = 4.0;
// With fewer (decayed) requests than this nothing is concluded.
constexpr double kEnoughRequests = 2.0;
// Below this part of a region's requests without room there, single objects are
// popular, and moving others does not help them.
constexpr double kPressedPart = 0.1;

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

void RegionPlan::Advance(const RegionSlots& slots, MonotonicTime now) {
  if (shares_.empty()) {
    shares_ = SharesBySlots(slots);
    moved_at_ = now;
  }
  DropEmptyRegions(slots);
  const Duration elapsed = std::max(now - moved_at_, Duration(0));
  moved_at_ = now;
  Decay(elapsed);
  const std::optional<RegionShares> relieved = RelievedShares();
  MoveTowards(relieved ? *relieved : SharesBySlots(slots),
              options_.max_shift_per_second * ToSeconds(elapsed));
}

void RegionPlan::Observe(const RegionName& planned,
                         const std::optional<RegionName>& with_room) {
  Pressure& pressure = pressures_[planned];
  pressure.requests += 1.0;
  if (with_room) {
    pressure.without_room[*with_room] += 1.0;
  }
}

void RegionPlan::Decay(Duration elapsed) {
  const double kept = std::exp(-ToSeconds(elapsed) / kPressureSeconds);
  for (auto& [region, pressure] : pressures_) {
    pressure.requests *= kept;
    for (auto& [with_room, count] : pressure.without_room) {
      count *= kept;
    }
  }
}

std::optional<RegionShares> RegionPlan::RelievedShares() const {
  RegionShares relieved = shares_;
  bool is_pressed = false;
  for (const auto& [region, pressure] : pressures_) {
    const auto share = shares_.find(region);
    if (share == shares_.end() || pressure.requests < kEnoughRequests) {
      continue;
    }
    for (const auto& [with_room, count] : pressure.without_room) {
      const double part = count / pressure.requests;
      if (part < kPressedPart) {
        continue;
      }
      is_pressed = true;
      relieved[region] -= part * share->second;
      relieved[with_room] += part * share->second;
    }
  }
  return is_pressed ? std::optional(relieved) : std::nullopt;
}

RegionShares RegionPlan::SharesBySlots(const RegionSlots& slots) const {
  // Nothing is known of demand: taken as equal everywhere, a region keeps what
  // its slots bear and the rest goes where slots are left over.
  RegionShares shares;
  const double all = Sum(slots);
  const auto regions = static_cast<double>(slots.size());
  if (all <= 0) {
    return shares;
  }
  RegionShares spare;
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
  shares[own_region_] = all_spare > 0 ? own : 1.0;
  for (const auto& [region, part] : spare) {
    shares[region] = (1.0 - own) * part / all_spare;
  }
  return shares;
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

void RegionPlan::MoveTowards(const RegionShares& wanted, double most) {
  for (const auto& [region, want] : wanted) {
    shares_.try_emplace(region, 0.0);
  }
  const auto wanted_of = [&wanted](const RegionName& region) {
    const auto found = wanted.find(region);
    return found == wanted.end() ? 0.0 : found->second;
  };
  double distance = 0;
  for (const auto& [region, share] : shares_) {
    distance += std::max(0.0, wanted_of(region) - share);
  }
  if (distance <= 0) {
    return;
  }
  const double step = std::min(1.0, most / distance);
  for (auto& [region, share] : shares_) {
    share += step * (wanted_of(region) - share);
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
