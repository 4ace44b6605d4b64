#include "medlarcroft/capacity/capacity_plan.h"

namespace medlarcroft::capacity {

DomainEvidence CapacityEvidence::For(const FailureDomainName& domain,
                                     bool are_targets_reachable) const {
  DomainEvidence evidence{.is_list_fresh = is_list_fresh,
                          .are_targets_reachable = are_targets_reachable};
  evidence.peers.reserve(peers.size());
  for (const SeatPeer& each : peers) {
    PeerEvidence peer = each.peer;
    const auto seat = each.seats.find(domain);
    if (seat != each.seats.end()) {
      peer.claimed_seat = seat->second;
    }
    evidence.peers.push_back(std::move(peer));
  }
  return evidence;
}

}  // namespace medlarcroft::capacity
