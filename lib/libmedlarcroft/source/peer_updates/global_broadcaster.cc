#include "medlarcroft/peer_updates/global_broadcaster.h"

#include <algorithm>
#include <map>
#include <utility>

#include "medlarcroft/peer_updates/update_timing.h"

namespace medlarcroft::peer_updates {

GlobalBroadcaster::GlobalBroadcaster(const HostName& host, Parts parts)
    : own_hash_(membership::HashOf(host)), parts_(std::move(parts)) {}

void GlobalBroadcaster::BroadcastCrashes(
    std::span<const request_path::CrashReport> reports) {
  if (reports.empty()) {
    return;
  }
  parts_.region.BroadcastCrashes(reports);
  SendToOtherRegions(&PeerUpdate::crashes, reports, kMaxCrashesPerDatagram);
}

void GlobalBroadcaster::BroadcastLimits(
    std::span<const request_path::LimitReport> reports) {
  if (reports.empty()) {
    return;
  }
  parts_.region.BroadcastLimits(reports);
  SendToOtherRegions(&PeerUpdate::limits, reports, kMaxLimitsPerDatagram);
}

template <typename Report>
void GlobalBroadcaster::SendToOtherRegions(
    std::vector<Report> PeerUpdate::*field,
    std::span<const Report> reports,
    std::size_t max_per_datagram) {
  const std::vector<std::string> addresses = ChooseRemoteAddresses();
  while (!reports.empty()) {
    const auto part = reports.first(std::min(reports.size(), max_per_datagram));
    PeerUpdate update{.way = UpdateRoute::kInterRegion, .sender = own_hash_};
    (update.*field).assign(part.begin(), part.end());
    parts_.sender.Send(addresses, update);
    reports = reports.subspan(part.size());
  }
}

void GlobalBroadcaster::OnUpdate(const PeerUpdate& update) {
  if (update.way == UpdateRoute::kInterRegion) {
    parts_.region.BroadcastCrashes(update.crashes);
    parts_.region.BroadcastLimits(update.limits);
  }
}

std::vector<std::string> GlobalBroadcaster::ChooseRemoteAddresses() {
  std::map<RegionName, std::vector<std::string>> regions;
  for (RemoteHost& host : parts_.remote_hosts()) {
    regions[host.region].push_back(std::move(host.address));
  }
  std::vector<std::string> picked;
  for (auto& [region, hosts] : regions) {
    for (std::size_t count = 0; count < kReceiversPerRegion && !hosts.empty();
         ++count) {
      const std::size_t index = parts_.random.NextBelow(hosts.size());
      picked.push_back(std::move(hosts[index]));
      hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  return picked;
}

}  // namespace medlarcroft::peer_updates
