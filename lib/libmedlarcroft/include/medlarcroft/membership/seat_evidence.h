#ifndef MEDLARCROFT_MEMBERSHIP_SEAT_EVIDENCE_H_
#define MEDLARCROFT_MEMBERSHIP_SEAT_EVIDENCE_H_

#include <set>

#include "medlarcroft/capacity/domain_evidence.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/membership/membership_table.h"

namespace medlarcroft::membership {

struct SeatEvidenceOptions {
  FailureDomainName failure_domain;
  /// Domains of the same region whose hosts may take seats of this one.
  std::set<FailureDomainName> siblings;
  bool is_list_fresh = false;
  bool are_targets_reachable = false;
};

/// @param now by the clock of `members`.
/// @return what the membership shows about the seats of one domain. A host of
/// which only the name is known counts as one of that domain: this can delay a
/// takeover, but never cause one.
[[nodiscard]] capacity::DomainEvidence CollectSeatEvidence(
    const MembershipTable& members,
    const SeatEvidenceOptions& options,
    MonotonicTime now);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_SEAT_EVIDENCE_H_
