#include "medlarcroft/decision/placement.h"

#include <algorithm>
#include <cstdint>

namespace medlarcroft::decision {
namespace {

constexpr double kReportLifetimeSeconds = 2.0;
constexpr double kLowestLatencyFactor = 0.25;
constexpr double kHighestLatencyFactor = 4.0;

TargetIndex ChooseAny(std::span<const TargetIndex> available,
                      ports::RandomSource& random) {
  return available[random.NextBelow(available.size())];
}

/// Two random choices: near the balance of a full search at the cost of two
/// reads, and hosts with the same old view do not all pick the same target.
template <double (TargetHealth::*kRelativeLatency)() const>
class TwoChoices final : public PlacementStrategy {
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

    const auto score = [&](std::size_t place) {
      const TargetState& target = targets.At(available[place]);
      return PlacementScore(target, (target.health.*kRelativeLatency)(), now);
    };
    return score(second) < score(first) ? available[second] : available[first];
  }
};

class RandomChoice final : public PlacementStrategy {
 public:
  TargetIndex Choose(std::span<const TargetIndex> available,
                     const TargetTable& /*targets*/,
                     MonotonicTime /*now*/,
                     ports::RandomSource& random) override {
    return ChooseAny(available, random);
  }
};

class RoundRobin final : public PlacementStrategy {
 public:
  TargetIndex Choose(std::span<const TargetIndex> available,
                     const TargetTable& /*targets*/,
                     MonotonicTime /*now*/,
                     ports::RandomSource& /*random*/) override {
    // The available targets change between calls; the next one in the order
    // of indexes is the one whose turn it is.
    TargetIndex lowest = available.front();
    std::optional<TargetIndex> next;
    for (const TargetIndex target : available) {
      lowest = std::min(lowest, target);
      if (target > last_ && (!next || target < *next))
        next = target;
    }
    last_ = next.value_or(lowest);
    return last_;
  }

 private:
  TargetIndex last_ = 0;
};

class LeastReportedLoad final : public PlacementStrategy {
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
  const double like_ours = held_by_others * std::min(1.0, own / usable);
  const double others = weight * reported + (1.0 - weight) * like_ours;

  const double factor = is_probing
                            ? 1.0
                            : std::clamp(relative_latency, kLowestLatencyFactor,
                                         kHighestLatencyFactor);
  return (own + others + 1.0) / (usable + held_by_others) * factor /
         target.ramp.FractionAfterShed(now);
}

std::unique_ptr<PlacementStrategy> MakePlacementStrategy(PlacementKind kind) {
  switch (kind) {
    case PlacementKind::kOptimisticPowerOfTwoChoices:
      return std::make_unique<
          TwoChoices<&TargetHealth::OptimisticRelativeLatency>>();
    case PlacementKind::kRandom:
      return std::make_unique<RandomChoice>();
    case PlacementKind::kRoundRobin:
      return std::make_unique<RoundRobin>();
    case PlacementKind::kLeastReportedLoad:
      return std::make_unique<LeastReportedLoad>();
    case PlacementKind::kPowerOfTwoChoices:
      break;
  }
  return std::make_unique<TwoChoices<&TargetHealth::RelativeLatency>>();
}

}  // namespace medlarcroft::decision
