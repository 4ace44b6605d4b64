#ifndef MEDLARCROFT_CAPACITY_SEAT_POLICY_H_
#define MEDLARCROFT_CAPACITY_SEAT_POLICY_H_

#include <cstdint>

#include "medlarcroft/capacity/domain_evidence.h"
#include "medlarcroft/capacity/lease_rules.h"
#include "medlarcroft/capacity/seat_row.h"

namespace medlarcroft::capacity {

/// @return whether the seat held by `owner` may be taken. This is for the loss
/// of a host, whose share of every target in the domain is unused until then.
/// The owner must be missing from a fresh host list, calls to it must have
/// failed for more than a lease, and no other host may claim the seat. Neither
/// of the first two conditions is enough alone: the list lags behind, and a
/// host that is only disconnected from the platform keeps serving.
/// @param observed_since when this process started or last resumed from a
/// pause.
[[nodiscard]] bool IsAbandoned(const SeatOwner& owner,
                               std::uint32_t seat,
                               const DomainEvidence& evidence,
                               const LeaseRules& rules,
                               MonotonicTime observed_since,
                               MonotonicTime now);

/// @return whether a peer has claimed since `since` to hold, or to wait for,
/// the seat. A holder that was paused resumes without the platform only when no
/// peer has claimed the seat for a whole `LeaseRules::ReuseDelayAfterRelease`.
/// This is enough because a host that took the seat meanwhile either claims it,
/// or has released it, or is down (there are no partitions within a domain), or
/// is in a sibling domain and disconnected, so that it cannot reach this
/// domain's targets. In each case its work has ended by then.
[[nodiscard]] bool IsSeatContested(std::uint32_t seat,
                                   const DomainEvidence& evidence,
                                   MonotonicTime since);

/// @return whether every peer was called since `since` and either answered or
/// failed to.
[[nodiscard]] bool HasProbedAll(const DomainEvidence& evidence,
                                MonotonicTime since);

/// @return whether a host of a sibling domain may take seats of `domain`, so
/// that its targets stay usable when its one or two hosts are lost. No host of
/// the domain may be listed as live, calls to each must have failed for a
/// lease, and the domain's targets must answer: then no partition hides a live
/// host there.
[[nodiscard]] bool MayServeSibling(const FailureDomainName& domain,
                                   const DomainEvidence& evidence,
                                   const LeaseRules& rules,
                                   MonotonicTime observed_since,
                                   MonotonicTime now);

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_POLICY_H_
