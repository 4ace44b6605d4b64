#ifndef MEDLARCROFT_REQUEST_PATH_BOUND_DEMAND_H_
#define MEDLARCROFT_REQUEST_PATH_BOUND_DEMAND_H_

#include <memory>
#include <span>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/request_path/region_plan.h"
#include "medlarcroft/routing/client_account.h"

namespace medlarcroft::request_path {

/// @brief Demand of client accounts that may run in some regions only.
struct BoundDemand {
  std::vector<RegionName> regions;
  double fraction = 0;  ///< Of the demand of all accounts, 0 to 1.
};

/// @brief Estimates the demand that accounts bind to regions from their quotas,
/// which are the same on every host. An account without a quota counts like the
/// mean of the others.
/// @return one entry per set of regions to which accounts are restricted.
[[nodiscard]] std::vector<BoundDemand> BoundDemandsOf(
    std::span<const std::shared_ptr<const routing::ClientAccount>> accounts);

/// @brief Reserves slots for bound demand, at a demand that fills all slots.
///
/// Under load, a region with few slots is filled by accounts that may run
/// nowhere else. Requests that may run anywhere and are planned for the region
/// regardless are refused there, and take slots from the others, while other
/// regions have room.
/// @return the slots per region that are left for other requests; `slots` when
/// none would be left anywhere.
[[nodiscard]] RegionSlots FreeSlots(const RegionSlots& slots,
                                    std::span<const BoundDemand> demands);

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_BOUND_DEMAND_H_
