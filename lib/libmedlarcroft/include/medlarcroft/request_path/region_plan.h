#ifndef MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_
#define MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::request_path {

/// @brief Slots that take new work, by region.
using RegionSlots = std::map<RegionName, double>;

/// @brief Parts of the requests, by region; they sum to 1.
using RegionShares = std::map<RegionName, double>;

/// @brief How fast a plan may move.
struct RegionPlanOptions {
  /// Part of the requests that may change their region, a second.
  double max_shift_per_second = 0.0075;
};

/// @brief Which part of one service's requests, of this host's callers, runs in
/// which region.
///
/// Load: demand that moves between regions in waves while each region's targets
/// bear a different part of it. Harm prevented: a choice made anew for each
/// request swings between regions within a second, meets cold targets and fills
/// a region that others fill too; and hosts whose plans differ run the same
/// object in two regions. So the plan is what the slots ask for, which is the
/// same on every host, and leaves it only for requests that their region has no
/// room for and another one has, at a bounded rate, and comes back as slowly.
/// Objects keep their region while the plan stands: with weighted rendezvous
/// hashing only the moved part changes.
class RegionPlan {
 public:
  RegionPlan(RegionName own_region, const RegionPlanOptions& options);

  /// @brief Moves the plan as far as its rate allows.
  /// @param slots a region without any gets nothing.
  void Advance(const RegionSlots& slots, MonotonicTime now);

  /// @brief Notes how a request fared in the region that the plan gave it.
  /// @param with_room the region that has room for it, when `planned` has not;
  /// absent: it stays, or no region has room.
  void Observe(const RegionName& planned,
               const std::optional<RegionName>& with_room);

  /// @param key of the object, or random.
  /// @return the region in which the request is to run.
  [[nodiscard]] RegionName Choose(std::uint64_t key) const;

  [[nodiscard]] const RegionShares& Shares() const { return shares_; }

 private:
  /// @brief Decayed counts of a region's requests.
  struct Pressure {
    double requests = 0;
    std::map<RegionName, double> without_room;  ///< By who has room.
  };

  /// @return what the slots ask for, whatever was observed.
  [[nodiscard]] RegionShares SharesBySlots(const RegionSlots& slots) const;
  /// @return the shares without what their regions have no room for; nullopt
  /// when all have.
  [[nodiscard]] std::optional<RegionShares> RelievedShares() const;
  void DropEmptyRegions(const RegionSlots& slots);
  void Decay(Duration elapsed);
  void MoveTowards(const RegionShares& wanted, double most);

  RegionName own_region_;
  RegionPlanOptions options_;
  RegionShares shares_;
  std::map<RegionName, Pressure> pressures_;
  MonotonicTime moved_at_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_
