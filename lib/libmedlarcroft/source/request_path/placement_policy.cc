#include "medlarcroft/request_path/placement_policy.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include <xxhash.h>

namespace medlarcroft::request_path {

namespace {

// How likely a target has the object, by its place in the object's order, when
// this host did not send it there lately: other hosts follow the same order.
constexpr double kWarmByRank[] = {0.6, 0.2};
constexpr double kWarmOtherwise = 0.05;
constexpr double kWarmWhenSent = 0.95;
// A target that has just joined has nothing and would stay unused for long:
// its first request is priced as if it were likely warm, which gives it an
// object to keep.
constexpr double kWarmUntried = 0.8;
// Parts of the latency objective by which a failing target is worse.
constexpr double kFailurePenalty = 2.0;
// A queue is felt a little before the last slot is taken, since the estimate of
// the others' work is late.
constexpr double kSlotsBelievedFree = 0.85;

struct Candidate {
  TargetState* target = nullptr;
  std::uint64_t hash = 0;
  Placement placement;
};

std::uint64_t OrderOf(std::string_view object, const TargetName& target) {
  return XXH3_64bits_withSeed(target.Value().data(), target.Value().size(),
                              XXH3_64bits(object.data(), object.size()));
}

bool IsAllowed(const TargetState& target, const PlacementQuestion& question) {
  const auto& regions = question.allowed_regions;
  if (!regions.empty() && std::find(regions.begin(), regions.end(),
                                    target.Region()) == regions.end()) {
    return false;
  }
  const auto& excluded = question.excluded;
  return std::find(excluded.begin(), excluded.end(), target.Record().id) ==
         excluded.end();
}

bool HasColdRoom(const TargetState& target,
                 const PlacementQuestion& question,
                 MonotonicTime now) {
  return !target.IsCold(now) ||
         target.RecentSends(now) < question.cold_allowance;
}

std::vector<Candidate> Collect(std::span<TargetState* const> targets,
                               const PlacementQuestion& question,
                               MonotonicTime now) {
  std::vector<Candidate> candidates;
  candidates.reserve(targets.size());
  for (TargetState* const target : targets) {
    if (IsAllowed(*target, question) && !target->IsResting(now) &&
        HasColdRoom(*target, question, now)) {
      candidates.push_back(
          {.target = target,
           .hash = OrderOf(question.object, target->Record().id)});
    }
  }
  // By region, and within each by the object's order.
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              if (left.target->Region() != right.target->Region()) {
                return left.target->Region() < right.target->Region();
              }
              return left.hash > right.hash;
            });
  return candidates;
}

double WarmChance(const Placement& placement,
                  const PlacementQuestion& question) {
  if (!question.is_sticky || question.object.empty()) {
    return 0.0;
  }
  if (placement.is_warm) {
    return kWarmWhenSent;
  }
  return placement.rank < std::size(kWarmByRank) ? kWarmByRank[placement.rank]
                                                 : kWarmOtherwise;
}

void Price(Candidate& candidate,
           const PlacementQuestion& question,
           Duration round_trip,
           MonotonicTime now) {
  const TargetState& target = *candidate.target;
  Placement& placement = candidate.placement;
  placement.target = candidate.target;
  placement.is_warm = target.HasHandled(question.object);
  placement.estimated_load = target.EstimatedLoad(now);

  const double slots = std::max(target.Record().slots, 1U);
  const double ahead = std::max(
      0.0, placement.estimated_load + 1.0 - kSlotsBelievedFree * slots);
  const double mean_work =
      ToSeconds(question.times.MeanWork()) * target.RelativeTime();
  const double wait = ahead / slots * mean_work;

  double chance = WarmChance(placement, question);
  if (!target.HasBeenUsed()) {
    chance = std::max(chance, kWarmUntried);
  }
  const double work = (chance * ToSeconds(question.times.Work(true)) +
                       (1.0 - chance) * ToSeconds(question.times.Work(false))) *
                      target.RelativeTime();
  const double penalty = target.FailureRatio() * kFailurePenalty *
                         ToSeconds(question.latency_objective);
  const double warm_work =
      ToSeconds(question.times.Work(true)) * target.RelativeTime();
  placement.soonest = round_trip + FromSeconds(wait + warm_work);
  placement.expected_wait = FromSeconds(wait);
  placement.expected = round_trip + FromSeconds(wait + work + penalty);
}

}  // namespace

std::optional<Placement> ChooseTarget(std::span<TargetState* const> targets,
                                      const PlacementQuestion& question,
                                      MonotonicTime now) {
  std::vector<Candidate> candidates = Collect(targets, question, now);
  const Candidate* best = nullptr;
  std::uint32_t rank = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    Candidate& candidate = candidates[i];
    const bool is_same_region = i > 0 && candidates[i - 1].target->Region() ==
                                             candidate.target->Region();
    rank = is_same_region ? rank + 1 : 0;
    candidate.placement.rank = rank;
    Price(candidate, question,
          question.distances.RoundTrip(candidate.target->Region()), now);
    if (best == nullptr ||
        candidate.placement.expected < best->placement.expected) {
      best = &candidate;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->placement);
}

}  // namespace medlarcroft::request_path
