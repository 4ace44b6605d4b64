#include <unordered_set>
#include <utility>

#include "peer_group.h"

namespace medlarcroft::node {

quota::QuotaCandidate PeerGroup::OwnCandidate() const {
  return {.number = OwnNumber(),
          .failure_domain = FailureDomainName(settings_.failure_domain),
          .region = RegionName(settings_.region),
          .link_mbps = settings_.link_mbps,
          .is_ready = table_.Self().phase == membership::HostPhase::kReady};
}

std::vector<quota::QuotaCandidate> PeerGroup::QuotaCandidates() const {
  std::unordered_set<HostName> ready;
  table_.VisitHostStates([&](const membership::HostStateView& host) {
    if (IsLive(host) && host.state.phase == membership::HostPhase::kReady) {
      ready.insert(host.state.host);
    }
  });
  std::vector<quota::QuotaCandidate> candidates = {OwnCandidate()};
  for (const auto& [name, entry] : entries_) {
    const auto region = parts_.regions.find(entry.host.failure_domain);
    if (name.Value() == settings_.host || region == parts_.regions.end()) {
      continue;
    }
    candidates.push_back({.number = membership::HashOf(name),
                          .failure_domain = entry.host.failure_domain,
                          .region = region->second,
                          .link_mbps = entry.link_mbps,
                          .is_ready = ready.contains(name)});
  }
  return candidates;
}

void PeerGroup::SendTo(quota::HostNumber host,
                       peer_updates::PeerUpdate update) {
  const auto found = numbers_.find(host);
  if (found == numbers_.end()) {
    return;
  }
  const auto entry = entries_.find(found->second);
  if (entry != entries_.end()) {
    update.sender = OwnNumber();
    channel_->Send(std::span(&entry->second.host.address, 1), update);
  }
}

std::string PeerGroup::NameOf(quota::HostNumber host) const {
  const auto found = numbers_.find(host);
  return found == numbers_.end() ? std::string() : found->second.Value();
}

}  // namespace medlarcroft::node
