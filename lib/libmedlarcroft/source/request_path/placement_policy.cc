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

/// @brief The candidates of one region, in the object's order.
struct RegionCandidates {
  Duration round_trip{0};
  std::vector<Candidate> candidates;
};

bool IsAllowed(const RegionName& region, const PlacementQuery& query) {
  const auto& regions = query.allowed_regions;
  return regions.empty() ||
         std::find(regions.begin(), regions.end(), region) != regions.end();
}

bool IsExcluded(const TargetState& target, const PlacementQuery& query) {
  const auto& excluded = query.excluded;
  return std::find(excluded.begin(), excluded.end(),
                   target.Record().Identity()) != excluded.end();
}

bool HasColdCapacity(const TargetState& target,
                     const PlacementQuery& query,
                     MonotonicTime now) {
  return !target.IsCold(now) || target.RecentSends(now) < query.cold_send_limit;
}

bool IsWithinRateLimit(const TargetState& target,
                       const PlacementQuery& query,
                       MonotonicTime now) {
  return query.limits == nullptr ||
         query.limits->AllowsSend(target.Number(), now);
}

RegionCandidates CollectRegion(const RegionTargets& region,
                               const PlacementQuery& query,
                               MonotonicTime now) {
  RegionCandidates collected{.round_trip =
                                 query.distances.RoundTrip(region.region)};
  std::vector<Candidate>& candidates = collected.candidates;
  candidates.reserve(region.targets.size());
  const std::optional<double> region_mean = query.loads.MeanOf(region.region);
  for (TargetState* const target : region.targets) {
    if (target->IsResting(now) || target->IsReturning(now) ||
        target->IsBackedOff(now) || !HasColdCapacity(*target, query, now) ||
        !IsWithinRateLimit(*target, query, now) ||
        (!query.excluded.empty() && IsExcluded(*target, query))) {
      continue;
    }
    candidates.push_back(
        {.target = target,
         .order = target->OrderOf(query.object),
         .load = target->EstimatedLoad(region_mean,
                                       query.options.region_load_weight, now)});
  }
  std::ranges::sort(candidates, std::greater<>(), &Candidate::order);
  for (std::uint32_t rank = 0; rank < candidates.size(); ++rank) {
    candidates[rank].rank = rank;
  }
  return collected;
}

std::vector<RegionCandidates> Collect(std::span<const RegionTargets> regions,
                                      const PlacementQuery& query,
                                      MonotonicTime now) {
  std::vector<RegionCandidates> collected;
  for (const RegionTargets& region : regions) {
    if (IsAllowed(region.region, query)) {
      collected.push_back(CollectRegion(region, query, now));
    }
  }
  return collected;
}

double WarmProbability(const Placement& placement,
                       const PlacementQuery& query) {
  const PlacementOptions& options = query.options;
  if (!query.is_sticky || query.object.IsEmpty()) {
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

/// @return the used fraction of all candidates' slots, from 0 to 1.
double Utilization(std::span<const RegionCandidates> regions) {
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

Placement EstimateCost(const Candidate& candidate,
                       Duration round_trip,
                       const PlacementQuery& query,
                       double utilization,
                       MonotonicTime now) {
  TargetState& target = *candidate.target;
  Placement placement{.target = &target,
                      .estimated_load = candidate.load,
                      .rank = candidate.rank,
                      .is_warm = target.HasHandled(query.object)};

  const double slots = std::max(target.Record().slots, 1U);
  const double queue_length =
      std::max(0.0, placement.estimated_load + 1.0 -
                        query.options.queueing_threshold * slots);
  const double slowness = target.RelativeTime(now) * target.SlowdownAt(now);
  const double mean_work = ToSeconds(query.mean_work) * slowness;
  const double wait = queue_length / slots * mean_work;

  double warm_probability = WarmProbability(placement, query);
  if (!target.HasBeenUsed()) {
    warm_probability =
        std::max(warm_probability, query.options.warm_when_unused);
  }
  const double work =
      (warm_probability * ToSeconds(query.times.Work(true)) +
       (1.0 - warm_probability) * ToSeconds(query.times.Work(false))) *
      slowness;
  const double warm_work = ToSeconds(query.times.Work(true)) * slowness;
  placement.best_case = round_trip + FromSeconds(wait + warm_work);
  placement.expected_wait = FromSeconds(wait);
  const double time = ToSeconds(round_trip) + wait + work;
  // Squared, so that the slot time costs almost nothing while targets are half
  // empty.
  const double slot_cost =
      query.options.slot_cost_weight * utilization * utilization * work;
  placement.expected = FromSeconds(time);
  placement.cost = FromSeconds(time + slot_cost);
  return placement;
}

}  // namespace

std::size_t LowestCost::Choose(std::span<const Placement> candidates) const {
  const auto cheapest =
      std::ranges::min_element(candidates, std::less<>(), &Placement::cost);
  return static_cast<std::size_t>(cheapest - candidates.begin());
}

std::optional<Placement> ChooseTarget(std::span<const RegionTargets> regions,
                                      const PlacementQuery& query,
                                      MonotonicTime now,
                                      const CandidateSelector& selector) {
  const std::vector<RegionCandidates> collected = Collect(regions, query, now);
  const double utilization = Utilization(collected);
  std::vector<Placement> placements;
  for (const RegionCandidates& region : collected) {
    for (const Candidate& candidate : region.candidates) {
      placements.push_back(
          EstimateCost(candidate, region.round_trip, query, utilization, now));
    }
  }
  if (placements.empty()) {
    return std::nullopt;
  }
  return placements[selector.Choose(placements)];
}

}  // namespace medlarcroft::request_path
