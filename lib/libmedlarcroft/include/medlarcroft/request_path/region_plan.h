#ifndef MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_
#define MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/region_balance.h"

namespace medlarcroft::request_path {

/// @brief Slots that accept new requests, by region.
using RegionSlots = std::map<RegionName, double>;

/// @brief Fractions of the requests, by region; they sum to 1.
using RegionShares = std::map<RegionName, double>;

/// @return the sum over all regions.
[[nodiscard]] double Sum(const std::map<RegionName, double>& values);

/// @brief Limits how fast a plan may change.
struct RegionPlanOptions {
  /// Fraction of the requests that may change region, per second.
  double max_shift_per_second = 0.0075;
  /// For requests that move because of the regions' utilization.
  ShiftLimit balancing;
};

/// @brief Divides one service's requests from this host's callers among
/// regions.
///
/// Demand moves between regions in waves, and the capacity of the regions
/// differs. Choosing a region for each request independently would oscillate
/// between regions within a second, reach cold targets and fill a region that
/// other hosts fill too. Hosts with different plans would run the same object
/// in two regions. The plan is therefore derived from the numbers of slots,
/// which are the same on every host. It deviates only for requests whose region
/// has no capacity while another region has, at a limited rate, and returns at
/// the same rate. Objects keep their region while the plan is unchanged: with
/// weighted rendezvous hashing only the shifted fraction moves.
class RegionPlan {
 public:
  RegionPlan(RegionName own_region, const RegionPlanOptions& options);

  /// @brief Moves the plan towards its desired shares as far as the rate limit
  /// allows.
  /// @param slots a region without slots gets no requests.
  /// @param free_slots those of `slots` that are left for the requests that the
  /// plan divides.
  void Advance(const RegionSlots& slots,
               const RegionSlots& free_slots,
               MonotonicTime now);
  void Advance(const RegionSlots& slots, MonotonicTime now) {
    Advance(slots, slots, now);
  }

  /// @brief Moves requests from a full region to a less utilized one. Until the
  /// next call, `Advance` then doesn't move the plan back.
  /// @param requests_per_second of the callers of the own region.
  void Balance(const RegionUtilization& utilization,
               double requests_per_second,
               MonotonicTime now);

  /// @brief Records whether the planned region had capacity for a request.
  /// @param region_with_capacity another region with capacity when `planned`
  /// has none; nullopt: `planned` has capacity, or no region has.
  void Observe(const RegionName& planned,
               const std::optional<RegionName>& region_with_capacity);

  /// @param key of the object, or random for a request without an object.
  /// @return the region in which the request should run.
  [[nodiscard]] RegionName Choose(std::uint64_t key) const;

  [[nodiscard]] const RegionShares& Shares() const { return shares_; }
  /// @return whether requests move because of the regions' utilization.
  [[nodiscard]] bool IsBalancing() const { return transfer_.has_value(); }

 private:
  /// @brief Exponentially decayed request counts of a planned region.
  struct Overflow {
    double requests = 0;
    std::map<RegionName, double> overflowed;  ///< By region that has capacity.
  };

  /// @return the shares according to the numbers of slots alone.
  [[nodiscard]] RegionShares SharesBySlots(const RegionSlots& slots) const;
  /// @return the current shares with the overflow moved to the regions that
  /// have capacity; nullopt when there is no overflow.
  [[nodiscard]] std::optional<RegionShares> SharesAfterOverflow() const;
  void DropEmptyRegions(const RegionSlots& slots,
                        const RegionSlots& free_slots);
  void Decay(Duration elapsed);
  void MoveTowards(const RegionShares& desired, double max_shift);

  RegionName own_region_;
  RegionPlanOptions options_;
  RegionShares shares_;
  std::map<RegionName, Overflow> overflows_;
  MonotonicTime advanced_at_{};
  std::optional<RegionTransfer> transfer_;
  MonotonicTime balanced_at_{};
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REGION_PLAN_H_
