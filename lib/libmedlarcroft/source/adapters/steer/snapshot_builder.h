#ifndef MEDLARCROFT_ADAPTERS_STEER_SNAPSHOT_BUILDER_H_
#define MEDLARCROFT_ADAPTERS_STEER_SNAPSHOT_BUILDER_H_

#include <cstdint>
#include <set>
#include <vector>

#include "gen-cpp/medlarcroft_types.h"
#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/membership/target_status_table.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/steering/shift_plan.h"

namespace medlarcroft::adapters {

/// @brief Input of `BuildSnapshot`.
struct SnapshotInputs {
  const catalogue::CatalogueView& catalogue;
  const FailureDomainName& own_domain;
  /// The other failure domains of the region.
  const std::set<FailureDomainName>& siblings;
  const std::vector<membership::Member>& members;
  const membership::TargetStatusTable& targets;
  const steering::ShiftPlan& plan;
  MonotonicTime now;
};

/// @return the routes for the entryd of this host. Number and flags are left to
/// the caller.
[[nodiscard]] wire::RoutingSnapshot BuildSnapshot(const SnapshotInputs& inputs);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_SNAPSHOT_BUILDER_H_
