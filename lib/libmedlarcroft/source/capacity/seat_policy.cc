#include "medlarcroft/capacity/seat_policy.h"

#include <algorithm>

namespace medlarcroft::capacity {

namespace {

bool IsSilent(const PeerEvidence& peer, Duration span) {
  return peer.silent_for && *peer.silent_for > span;
}

}  // namespace

bool IsAbandoned(const SeatOwner& owner,
                 std::uint32_t seat,
                 const DomainEvidence& evidence,
                 const LeaseRules& rules,
                 MonotonicTime observed_since,
                 MonotonicTime now) {
  const Duration observed = now - observed_since;
  if (!evidence.is_list_fresh || observed <= rules.lease) {
    return false;
  }
  const bool is_claimed =
      std::ranges::any_of(evidence.peers, [&](const PeerEvidence& peer) {
        return peer.host != owner.host && peer.claimed_seat == seat &&
               !IsSilent(peer, rules.ReuseDelay());
      });
  if (is_claimed) {
    return false;
  }
  const auto found =
      std::ranges::find(evidence.peers, owner.host, &PeerEvidence::host);
  // No list or peer names this host, so there is no address to call.
  if (found == evidence.peers.end()) {
    return observed > rules.ReuseDelay();
  }
  return !found->is_listed_live && IsSilent(*found, rules.lease);
}

bool IsSeatContested(std::uint32_t seat,
                     const DomainEvidence& evidence,
                     MonotonicTime since) {
  return std::ranges::any_of(evidence.peers, [&](const PeerEvidence& peer) {
    return peer.claimed_seat == seat && peer.claimed_at >= since;
  });
}

bool HasProbedAll(const DomainEvidence& evidence, MonotonicTime since) {
  return std::ranges::all_of(evidence.peers, [&](const PeerEvidence& peer) {
    const bool has_answered = peer.answered_at && *peer.answered_at >= since;
    return has_answered || peer.silent_for;
  });
}

bool MayServeSibling(const FailureDomainName& domain,
                     const DomainEvidence& evidence,
                     const LeaseRules& rules,
                     MonotonicTime observed_since,
                     MonotonicTime now) {
  const bool is_observed_long_enough = now - observed_since > rules.lease;
  if (!evidence.is_list_fresh || !evidence.are_targets_reachable ||
      !is_observed_long_enough) {
    return false;
  }
  return std::ranges::none_of(evidence.peers, [&](const PeerEvidence& peer) {
    return peer.failure_domain == domain &&
           (peer.is_listed_live || !IsSilent(peer, rules.lease));
  });
}

}  // namespace medlarcroft::capacity
