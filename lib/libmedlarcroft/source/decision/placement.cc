#include "medlarcroft/decision/placement.h"

#include <algorithm>
#include <cstdint>

namespace medlarcroft::decision {
namespace {

constexpr double kReportLifetimeSeconds = 2.0;
constexpr double kMinLatencyFactor = 0.25;
constexpr double kMaxLatencyFactor = 4.0;

TargetIndex ChooseRandom(std::span<const TargetIndex> available,
                         ports::RandomSource& random) {
  return available[random.NextBelow(available.size())];
}

/// @brief Picks the better of two random targets ("power of two choices").
///
/// The balance is close to that of a full search at the cost of reading two
/// targets, and hosts with the same outdated reports do not all choose the same
/// target.
template <double (TargetHealth::*kRelativeLatency)() const>
class PowerOfTwoChoices final : public PlacementStrategy {
 public:
  TargetIndex Choose(std::span<const TargetIndex> available,
                     const TargetTable& targets,
                     MonotonicTime now,
                     ports::RandomSource& random) override {
    if (available.size() == 1)
      return available.front();

    const std::size_t first = random.NextBelow(available.size());
    std::size_t second = random.NextBelow(available.size() - 1);
    if (second >= first)
      ++second;

    const auto score = [&](std::size_t position) {
      const TargetState& target = targets.At(available[position]);
      return PlacementScore(target, (target.health.*kRelativeLatency)(), now);
    };
    return score(second) < score(first) ? available[second] : available[first];
  }
};

class RandomPlacement final : public PlacementStrategy {
 public:
  TargetIndex Choose(std::span<const TargetIndex> available,
                     const TargetTable& /*targets*/,
                     MonotonicTime /*now*/,
                     ports::RandomSource& random) override {
    return ChooseRandom(available, random);
  }
};

class RoundRobinPlacement final : public PlacementStrategy {
 public:
  TargetIndex Choose(std::span<const TargetIndex> available,
                     const TargetTable& /*targets*/,
                     MonotonicTime /*now*/,
                     ports::RandomSource& /*random*/) override {
    // The available targets change between calls, so the next one is found by
    // its index rather than by its position in the list.
    TargetIndex lowest = available.front();
    std::optional<TargetIndex> next;
    for (const TargetIndex target : available) {
      lowest = std::min(lowest, target);
      if (target > last_chosen_ && (!next || target < *next))
        next = target;
    }
    last_chosen_ = next.value_or(lowest);
    return last_chosen_;
  }

 private:
  TargetIndex last_chosen_ = 0;
};

class LeastReportedLoadPlacement final : public PlacementStrategy {
 public:
  TargetIndex Choose(std::span<const TargetIndex> available,
                     const TargetTable& targets,
                     MonotonicTime /*now*/,
                     ports::RandomSource& /*random*/) override {
    return *std::ranges::min_element(available, {}, [&](TargetIndex target) {
      return targets.At(target).reported_total;
    });
  }
};

}  // namespace

double ReportWeight(const TargetState& target, MonotonicTime now) {
  if (!target.reported_at)
    return 0.0;
  const double age = ToSeconds(now - *target.reported_at);
  return std::max(0.0, 1.0 - age / kReportLifetimeSeconds);
}

double PlacementScore(const TargetState& target,
                      double relative_latency,
                      MonotonicTime now) {
  const bool is_probing = target.health.State() == HealthState::kProbing;
  const double own = target.outstanding;
  const double usable =
      std::max<double>(1.0, is_probing ? target.config.share : target.usable);
  const double held_by_others =
      target.config.slots -
      std::min<double>(target.config.share, target.config.slots);

  const double weight = ReportWeight(target, now);
  const double reported =
      std::min<double>(target.reported_by_others, held_by_others);
  const double estimated = held_by_others * std::min(1.0, own / usable);
  const double others = weight * reported + (1.0 - weight) * estimated;

  const double latency_factor =
      is_probing
          ? 1.0
          : std::clamp(relative_latency, kMinLatencyFactor, kMaxLatencyFactor);
  return (own + others + 1.0) / (usable + held_by_others) * latency_factor /
         target.ramp.FractionAfterShed(now);
}

std::unique_ptr<PlacementStrategy> MakePlacementStrategy(PlacementKind kind) {
  switch (kind) {
    case PlacementKind::kOptimisticPowerOfTwoChoices:
      return std::make_unique<
          PowerOfTwoChoices<&TargetHealth::OptimisticRelativeLatency>>();
    case PlacementKind::kRandom:
      return std::make_unique<RandomPlacement>();
    case PlacementKind::kRoundRobin:
      return std::make_unique<RoundRobinPlacement>();
    case PlacementKind::kLeastReportedLoad:
      return std::make_unique<LeastReportedLoadPlacement>();
    case PlacementKind::kPowerOfTwoChoices:
      break;
  }
  return std::make_unique<PowerOfTwoChoices<&TargetHealth::RelativeLatency>>();
}

}  // namespace medlarcroft::decision
