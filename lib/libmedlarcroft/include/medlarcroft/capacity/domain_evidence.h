#ifndef MEDLARCROFT_CAPACITY_DOMAIN_EVIDENCE_H_
#define MEDLARCROFT_CAPACITY_DOMAIN_EVIDENCE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::capacity {

/// @brief What is known about another host that may hold, or may have taken, a
/// seat. A host known only by its name in a seat row has no entry.
struct PeerEvidence {
  HostName host;
  std::uint64_t incarnation = 0;  ///< The newest one received; 0 if none was.
  FailureDomainName failure_domain;
  /// Listed by the platform and not leaving.
  bool is_listed_live = false;
  /// When it last answered a direct call by this host; reports by other hosts
  /// do not count. An answer by either of its two daemons counts.
  std::optional<MonotonicTime> answered_at;
  /// Time from the first to the last failed call since its last answer; nullopt
  /// if no call has failed. With 52 hosts, two hosts exchange only once a
  /// minute, so missing updates prove nothing: calls must have failed.
  std::optional<Duration> silent_for;
  /// The seat of the domain in question that it claims to hold or to wait for,
  /// and when it last claimed it, by this host's clock.
  std::optional<std::uint32_t> claimed_seat;
  MonotonicTime claimed_at;
};

/// @brief Everything that decides whether a seat of one failure domain may
/// change owner. Collected anew for each step.
struct DomainEvidence {
  /// Every known host of the domain and of its sibling domains, without this
  /// host.
  std::vector<PeerEvidence> peers;
  /// True if the host list was read within the last lease; an older list is no
  /// proof that a host is gone.
  bool is_list_fresh = false;
  /// True if some target of the domain answered this host within the last
  /// lease.
  bool are_targets_reachable = false;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_DOMAIN_EVIDENCE_H_
