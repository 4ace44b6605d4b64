#ifndef MEDLARCROFT_ADAPTERS_STEER_STEERING_VIEW_H_
#define MEDLARCROFT_ADAPTERS_STEER_STEERING_VIEW_H_

#include <vector>

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/steering/lookup_planner.h"
#include "medlarcroft/steering/shift_planner.h"

/// @file
/// @brief Converts the membership state into the inputs of the look-up planner
/// and the shift planner.

namespace medlarcroft::adapters {

/// @return this host and all members that callers could be sent to. Hosts that
/// are drained, that announce leaving or that are reported as leaving are
/// marked as leaving.
[[nodiscard]] std::vector<steering::EntryHost> EntryHostsOf(
    const membership::MembershipTable& members,
    const catalogue::CatalogueView& catalogue);

/// @return the loads of all failure domains, beginning with this host's.
[[nodiscard]] std::vector<steering::DomainLoad> DomainLoadsOf(
    const membership::MembershipTable& members);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEERING_VIEW_H_
