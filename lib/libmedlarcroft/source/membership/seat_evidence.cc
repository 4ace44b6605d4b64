#include "medlarcroft/membership/seat_evidence.h"

namespace medlarcroft::membership {

capacity::DomainEvidence CollectSeatEvidence(const MembershipTable& members,
                                             const SeatEvidenceOptions& options,
                                             MonotonicTime now) {
  capacity::DomainEvidence evidence{
      .is_list_fresh = options.is_list_fresh,
      .are_targets_reachable = options.are_targets_reachable};
  for (const Member& member : members.Members()) {
    const FailureDomainName& domain = member.state.failure_domain;
    const bool counts = domain.IsEmpty() || domain == options.failure_domain ||
                        options.siblings.contains(domain);
    if (!counts) {
      continue;
    }
    capacity::PeerEvidence peer{
        .host = member.state.host,
        .incarnation = member.state.number.incarnation,
        .failure_domain = domain.IsEmpty() ? options.failure_domain : domain,
        .is_listed_live = member.is_listed_live,
        .answered_at = member.answered_at,
        .silent_for = member.silent_for};
    const auto seat = member.state.seats.find(options.failure_domain);
    if (seat != member.state.seats.end()) {
      peer.claimed_seat = seat->second;
      peer.claimed_at = now - member.content_age;
    }
    evidence.peers.push_back(peer);
  }
  return evidence;
}

}  // namespace medlarcroft::membership
