#ifndef MEDLARCROFT_CAPACITY_CAPACITY_PLAN_H_
#define MEDLARCROFT_CAPACITY_CAPACITY_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/capacity/domain_evidence.h"
#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::capacity {

/// @brief A failure domain in which this host may hold a seat.
struct SeatDomainPlan {
  FailureDomainName failure_domain;
  std::uint32_t seats = 0;
  /// Newest catalogue revision that changes the domain's splits.
  std::uint64_t split_revision = 0;
  /// True if this is not the host's own domain; it is then served only while it
  /// has no host of its own.
  bool is_sibling = false;
};

/// @brief A target's slots, to be split between the seats of its domain.
struct SlotLimit {
  TargetName target;
  FailureDomainName failure_domain;
  std::uint32_t slots = 0;
};

/// @brief A host that holds a seat and may lend part of its share.
struct Lender {
  HostName host;
  std::map<FailureDomainName, std::uint32_t> seats;
};

/// @brief A host that may hold seats, and the seats it claims to hold.
struct SeatPeer {
  PeerEvidence peer;  ///< `claimed_seat` is not set.
  std::map<FailureDomainName, std::uint32_t> seats;
};

/// @brief Evidence on whether a seat may change owner.
struct CapacityEvidence {
  std::vector<SeatPeer> peers;
  bool is_list_fresh = false;

  /// @return the evidence about the seats of one domain.
  [[nodiscard]] DomainEvidence For(const FailureDomainName& domain,
                                   bool are_targets_reachable) const;
};

/// @brief All capacity data from the catalogue and the membership, as carried
/// by one routing snapshot.
struct CapacityPlan {
  std::vector<SeatDomainPlan> domains;
  std::vector<SlotLimit> limits;
  std::vector<Lender> lenders;
  CapacityEvidence evidence;
};

/// @return the name of the limit on a target's slots.
[[nodiscard]] inline std::string SlotLimitName(std::string_view target) {
  return "target/" + std::string(target) + "/slots";
}

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_CAPACITY_PLAN_H_
