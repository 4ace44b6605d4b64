#ifndef MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_
#define MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Slots that take new work, by region.
using RegionSlots = std::map<RegionName, double>;

/// @brief How fast a plan may move.
struct RegionPlanOptions {
  /// Part of the requests that may change their region, a second.
  double most_moved_per_second = 0.03;
};

/// @brief Which part of one service's requests, of this host's callers, runs in
/// which region.
///
/// Load: demand that moves between regions in waves while each region's targets
/// bear a different part of it. Harm prevented: a choice made anew for each
/// request swings between regions within a second, meets cold targets and fills
/// a region that others fill too. So the plan follows what the single choices
/// ask for, at a bounded rate, and objects keep their region while it stands:
/// with weighted rendezvous hashing only the moved part changes.
class RegionPlan {
 public:
  RegionPlan(RegionName own_region, const RegionPlanOptions& options);

  /// @brief Notes where a request would best run, and moves the plan.
  /// @param slots a region without any gets nothing.
  void Observe(const RegionName& best,
               const RegionSlots& slots,
               MonotonicTime now);

  /// @param key of the object, or random.
  /// @return the region in which the request is to run.
  [[nodiscard]] RegionName Choose(std::uint64_t key) const;

  [[nodiscard]] const std::map<RegionName, double>& Shares() const {
    return shares_;
  }

 private:
  void Begin(const RegionSlots& slots);
  void DropEmptyRegions(const RegionSlots& slots);
  void MoveTowardsWish(Duration elapsed);

  RegionName own_region_;
  RegionPlanOptions options_;
  std::map<RegionName, double> shares_;  ///< Sum to 1.
  std::map<RegionName, double> wishes_;  ///< Decayed counts of what was best.
  MonotonicTime moved_at_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_
