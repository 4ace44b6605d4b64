#include "medlarcroft/request_path/placement_policy.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace medlarcroft::request_path {

namespace {

struct Candidate {
  TargetState* target = nullptr;
  std::uint64_t order = 0;
  double load = 0;
  std::uint32_t rank = 0;
};

/// @brief The candidates of one region, by the object's order.
struct RegionCandidates {
  Duration round_trip{0};
  std::vector<Candidate> candidates;
};

bool IsAllowed(const RegionName& region, const PlacementQuestion& question) {
  const auto& regions = question.allowed_regions;
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

bool IsExcluded(const TargetState& target, const PlacementQuestion& question) {
  const auto& excluded = question.excluded;
  return std::find(excluded.begin(), excluded.end(),
                   target.Record().Identity()) != excluded.end();
}

bool HasColdRoom(const TargetState& target,
                 const PlacementQuestion& question,
                 MonotonicTime now) {
  return !target.IsCold(now) ||
         target.RecentSends(now) < question.cold_allowance;
}

bool IsWithinRateLimit(const TargetState& target,
                       const PlacementQuestion& question,
                       MonotonicTime now) {
  return question.limits == nullptr ||
         question.limits->AllowsSend(target.Number(), now);
}

RegionCandidates CollectRegion(const RegionTargets& region,
                               const PlacementQuestion& question,
                               MonotonicTime now) {
  RegionCandidates collected{.round_trip =
                                 question.distances.RoundTrip(region.region)};
  std::vector<Candidate>& candidates = collected.candidates;
  candidates.reserve(region.targets.size());
  const std::optional<double> usual = question.loads.MeanOf(region.region);
  for (TargetState* const target : region.targets) {
    if (target->IsResting(now) || !HasColdRoom(*target, question, now) ||
        !IsWithinRateLimit(*target, question, now) ||
        (!question.excluded.empty() && IsExcluded(*target, question))) {
      continue;
    }
    candidates.push_back(
        {.target = target,
         .order = target->OrderOf(question.object),
         .load = target->EstimatedLoad(
             usual, question.options.region_load_weight, now)});
  }
  std::ranges::sort(candidates, std::greater<>(), &Candidate::order);
  for (std::uint32_t rank = 0; rank < candidates.size(); ++rank) {
    candidates[rank].rank = rank;
  }
  return collected;
}

std::vector<RegionCandidates> Collect(std::span<const RegionTargets> regions,
                                      const PlacementQuestion& question,
                                      MonotonicTime now) {
  std::vector<RegionCandidates> collected;
  for (const RegionTargets& region : regions) {
    if (IsAllowed(region.region, question)) {
      collected.push_back(CollectRegion(region, question, now));
    }
  }
  return collected;
}

double WarmChance(const Placement& placement,
                  const PlacementQuestion& question) {
  const PlacementOptions& options = question.options;
  if (!question.is_sticky || question.object.IsEmpty()) {
    return 0.0;
  }
  if (placement.is_warm) {
    return options.warm_when_sent;
  }
  switch (placement.rank) {
    case 0:
      return options.warm_when_first;
    case 1:
      return options.warm_when_second;
    default:
      return options.warm_otherwise;
  }
}

/// @return the part of all candidates' slots that is taken, 0 to 1.
double BusyPart(std::span<const RegionCandidates> regions) {
  double load = 0;
  double slots = 0;
  for (const RegionCandidates& region : regions) {
    for (const Candidate& candidate : region.candidates) {
      load += candidate.load;
      slots += std::max(candidate.target->Record().slots, 1U);
    }
  }
  return slots > 0 ? std::min(load / slots, 1.0) : 0.0;
}

Placement Price(const Candidate& candidate,
                Duration round_trip,
                const PlacementQuestion& question,
                double busy) {
  TargetState& target = *candidate.target;
  Placement placement{.target = &target,
                      .estimated_load = candidate.load,
                      .rank = candidate.rank,
                      .is_warm = target.HasHandled(question.object)};

  const double slots = std::max(target.Record().slots, 1U);
  const double ahead =
      std::max(0.0, placement.estimated_load + 1.0 -
                        question.options.queueing_threshold * slots);
  const double mean_work =
      ToSeconds(question.times.MeanWork()) * target.RelativeTime();
  const double wait = ahead / slots * mean_work;

  double chance = WarmChance(placement, question);
  if (!target.HasBeenUsed()) {
    chance = std::max(chance, question.options.warm_when_unused);
  }
  const double work = (chance * ToSeconds(question.times.Work(true)) +
                       (1.0 - chance) * ToSeconds(question.times.Work(false))) *
                      target.RelativeTime();
  const double warm_work =
      ToSeconds(question.times.Work(true)) * target.RelativeTime();
  placement.soonest = round_trip + FromSeconds(wait + warm_work);
  placement.expected_wait = FromSeconds(wait);
  const double time = ToSeconds(round_trip) + wait + work;
  // Squared, so that half empty targets cost next to nothing.
  const double slot_cost =
      question.options.slot_cost_weight * busy * busy * work;
  placement.expected = FromSeconds(time);
  placement.price = FromSeconds(time + slot_cost);
  return placement;
}

}  // namespace

std::size_t SoonestAnswer::Choose(std::span<const Placement> candidates) const {
  const auto soonest =
      std::ranges::min_element(candidates, std::less<>(), &Placement::price);
  return static_cast<std::size_t>(soonest - candidates.begin());
}

std::optional<Placement> ChooseTarget(std::span<const RegionTargets> regions,
                                      const PlacementQuestion& question,
                                      MonotonicTime now,
                                      const CandidateSelector& rule) {
  const std::vector<RegionCandidates> collected =
      Collect(regions, question, now);
  const double busy = BusyPart(collected);
  std::vector<Placement> priced;
  for (const RegionCandidates& region : collected) {
    for (const Candidate& candidate : region.candidates) {
      priced.push_back(Price(candidate, region.round_trip, question, busy));
    }
  }
  if (priced.empty()) {
    return std::nullopt;
  }
  return priced[rule.Choose(priced)];
}

}  // namespace medlarcroft::request_path
