#ifndef MEDLARCROFT_REQUEST_PATH_PLACEMENT_POLICY_H_
#define MEDLARCROFT_REQUEST_PATH_PLACEMENT_POLICY_H_

#include <cstdint>
#include <optional>
#include <span>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/rate_limits.h"
#include "medlarcroft/request_path/region_load.h"
#include "medlarcroft/request_path/service_times.h"
#include "medlarcroft/request_path/target_directory.h"

namespace medlarcroft::request_path {

/// @brief How candidates are priced; why so: docs/decisions/platform.md.
struct PlacementOptions {
  /// How likely a target has an object that this host did not send there
  /// lately, if it is the first or second in the object's order: other hosts
  /// follow the same order.
  double warm_when_first = 0.6;
  double warm_when_second = 0.2;
  double warm_otherwise = 0.05;
  /// The same, when this host or one that told of it sent it there lately.
  double warm_when_sent = 0.95;
  /// A target that has just joined has nothing and would stay unused for long:
  /// its first request is priced as if it were likely warm, which gives it an
  /// object to keep.
  double warm_when_unused = 0.8;
  /// A queue is felt a little before the last slot is taken, since the estimate
  /// of the others' work is late.
  double queueing_threshold = 0.85;
  /// What the slot time that a request takes costs the others, over that time,
  /// when all targets are full. Failure: after a burst objects spread to
  /// targets that don't have them, each run there takes three or four times as
  /// long, and that load spreads the next ones. Symptom: targets stay full of
  /// work without the object long after the burst is over. Paying for the slot
  /// keeps a request waiting a little for a target that has the object.
  double slot_cost_weight = 1.0;
  /// How much the load of the targets beside one counts, over its own in the
  /// mean, as its last report grows old.
  double region_load_weight = 0.5;
};

/// @brief What placing one request depends on beside the targets.
struct PlacementQuestion {
  ObjectKey object;
  bool is_sticky = false;
  const ServiceTimes& times;
  const RegionDistances& distances;
  const RegionLoad& loads;
  /// Requests a second that this host may send one cold target; below 1 none.
  std::uint32_t cold_allowance = 0;
  /// Null: no target has a rate limit.
  const RateLimits* limits = nullptr;
  /// Targets that had the request already.
  std::span<const TargetIdentity> excluded;
  std::span<const RegionName> allowed_regions;
  PlacementOptions options;
};

/// @brief The target chosen and what decided it, for the log.
struct Placement {
  TargetState* target = nullptr;
  Duration expected{0};       ///< Until the whole answer is here.
  Duration price{0};          ///< The same with what makes it less welcome.
  Duration soonest{0};        ///< The same, if the object is there.
  Duration expected_wait{0};  ///< Part of it, in the target's queue.
  double estimated_load = 0;
  std::uint32_t rank = 0;  ///< In the object's order within its region.
  bool is_warm = false;    ///< It had the object from this host lately.
};

/// @brief Which of the priced candidates gets the request.
class CandidateSelector {
 public:
  virtual ~CandidateSelector() = default;
  /// @param candidates by region, and within each by the object's order; at
  /// least one.
  /// @return a place in `candidates`.
  [[nodiscard]] virtual std::size_t Choose(
      std::span<const Placement> candidates) const = 0;
};

/// @brief The one that is expected to answer first.
class SoonestAnswer final : public CandidateSelector {
 public:
  [[nodiscard]] std::size_t Choose(
      std::span<const Placement> candidates) const override;
};

/// @brief Prices the targets that may be used and lets a rule choose.
///
/// Load: objects of which each target remembers some tens, targets of 3 to 9
/// slots that all hosts use at once, regions whose demand passes their own
/// targets in turn. Harm prevented: with no regard for objects most work is
/// done cold, three times as long, and all targets are full; with a fixed home
/// for each object the popular ones overload theirs. So each candidate is
/// priced in time: the way there, the wait behind what is estimated to be
/// there, and the work, shorter where the object is believed warm. Each region
/// has its own order of targets for an object (rendezvous hashing), by which
/// hosts that know nothing of each other meet at the same targets.
/// A target that fails a part of its requests is not priced for that: its
/// objects would be run anew elsewhere, where a second send costs less. One
/// that fails several in a row rests.
/// @return nullopt when no target may be used.
[[nodiscard]] std::optional<Placement> ChooseTarget(
    std::span<const RegionTargets> regions,
    const PlacementQuestion& question,
    MonotonicTime now,
    const CandidateSelector& rule = SoonestAnswer());

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_PLACEMENT_POLICY_H_
