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

/// @brief Parameters of the cost estimate for candidate targets. See
/// docs/decisions/platform.md for the rationale.
struct PlacementOptions {
  /// Probability that a target has an object that this host did not send to it
  /// recently, when the target is the first or second in the object's
  /// rendezvous order: other hosts use the same order.
  double warm_when_first = 0.6;
  double warm_when_second = 0.2;
  double warm_otherwise = 0.05;
  /// The same probability when this host, or another host that announced it,
  /// sent the object to the target recently.
  double warm_when_sent = 0.95;
  /// A target that has just joined has no objects and would stay unused for a
  /// long time. Its first request is estimated as if the object were likely
  /// warm, which gives the target an object to cache.
  double warm_when_unused = 0.8;
  /// Fraction of a target's slots beyond which a request is expected to wait.
  /// Below 1 because the estimate of other hosts' load lags behind.
  double queueing_threshold = 0.85;
  /// Weight of the slot time that a request occupies while all targets are
  /// full, since it delays other requests by that time. Without this cost,
  /// objects spread after a burst to targets that do not have them; each run
  /// there takes three or four times as long, and that load spreads further
  /// objects, so targets stay saturated with cold work long after the burst is
  /// over. With this cost, a request rather waits a short time for a target
  /// that has the object.
  double slot_cost_weight = 1.0;
  /// Weight of the region's mean load relative to the target's own mean load,
  /// which together replace the target's last report as it ages.
  double region_load_weight = 0.5;
};

/// @brief Inputs for placing one request, other than the targets.
struct PlacementQuery {
  ObjectKey object;
  bool is_sticky = false;
  const ServiceTimes& times;  ///< Of the request's route.
  /// Over the requests of all routes, which wait in the same queues.
  Duration mean_work{0};
  const RegionDistances& distances;
  const RegionLoad& loads;
  /// Requests per second that this host may send to one cold target; 0: none.
  std::uint32_t cold_send_limit = 0;
  /// Null: no target has a rate limit.
  const RateLimits* limits = nullptr;
  /// Targets that the request was already sent to.
  std::span<const TargetIdentity> excluded;
  std::span<const RegionName> allowed_regions;
  PlacementOptions options;
};

/// @brief The chosen target and the estimates that led to the choice, for the
/// log.
struct Placement {
  TargetState* target = nullptr;
  Duration expected{0};       ///< Time until the complete response.
  Duration cost{0};           ///< `expected` plus the weighted slot time.
  Duration best_case{0};      ///< `expected` if the object is warm.
  Duration expected_wait{0};  ///< Part of it spent in the target's queue.
  double estimated_load = 0;
  std::uint32_t rank = 0;  ///< In the object's order within the region.
  bool is_warm = false;    ///< The target received the object recently.
};

/// @brief Selects one of the candidates.
class CandidateSelector {
 public:
  virtual ~CandidateSelector() = default;
  /// @param candidates grouped by region, and within each region in the
  /// object's order; not empty.
  /// @return an index into `candidates`.
  [[nodiscard]] virtual std::size_t Choose(
      std::span<const Placement> candidates) const = 0;
};

/// @brief Selects the candidate with the lowest cost.
class LowestCost final : public CandidateSelector {
 public:
  [[nodiscard]] std::size_t Choose(
      std::span<const Placement> candidates) const override;
};

/// @brief Estimates the cost of each usable target and lets a selector choose.
///
/// Each target keeps some tens of objects warm and has 3 to 9 slots, which all
/// hosts use concurrently, and demand exceeds the capacity of different regions
/// in turn. Placement without regard to objects would run most requests cold,
/// which takes three times as long and would saturate all targets. A fixed
/// target for each object would overload those of popular objects. The cost of
/// a candidate is therefore a time: the network round trip, the estimated wait
/// in its queue, and the processing time, which is shorter when the object is
/// probably warm. Each region has its own order of targets for an object
/// (rendezvous hashing), so that hosts choose the same targets without
/// coordination. A target that fails some of its requests gets no higher cost:
/// its objects would have to be loaded on other targets, and a retry is cheaper
/// than that. A target that fails several requests in a row is backed off.
/// @return nullopt when no target is usable.
[[nodiscard]] std::optional<Placement> ChooseTarget(
    std::span<const RegionTargets> regions,
    const PlacementQuery& query,
    MonotonicTime now,
    const CandidateSelector& selector = LowestCost());

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_PLACEMENT_POLICY_H_
