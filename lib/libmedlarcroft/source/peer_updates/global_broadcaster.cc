#include "medlarcroft/peer_updates/global_broadcaster.h"

#include <algorithm>
#include <map>
#include <utility>

#include "medlarcroft/peer_updates/update_timing.h"

namespace medlarcroft::peer_updates {

GlobalBroadcaster::GlobalBroadcaster(const HostName& host, Parts parts)
    : own_hash_(membership::HashOf(host)), parts_(std::move(parts)) {}

void GlobalBroadcaster::TellCrashes(
    std::span<const request_path::CrashReport> reports) {
  if (reports.empty()) {
    return;
  }
  parts_.region.TellCrashes(reports);
  SendToOtherRegions(&PeerUpdate::crashes, reports, kMostCrashesTogether);
}

void GlobalBroadcaster::TellLimits(
    std::span<const request_path::LimitReport> reports) {
  if (reports.empty()) {
    return;
  }
  parts_.region.TellLimits(reports);
  SendToOtherRegions(&PeerUpdate::limits, reports, kMostLimitsTogether);
}

template <typename Report>
void GlobalBroadcaster::SendToOtherRegions(
    std::vector<Report> PeerUpdate::*field,
    std::span<const Report> reports,
    std::size_t most_per_datagram) {
  const std::vector<std::string> addresses = PickRemoteAddresses();
  while (!reports.empty()) {
    const auto part =
        reports.first(std::min(reports.size(), most_per_datagram));
    PeerUpdate news{.way = UpdateRoute::kInterRegion, .sender = own_hash_};
    (news.*field).assign(part.begin(), part.end());
    parts_.sender.Send(addresses, news);
    reports = reports.subspan(part.size());
  }
}

void GlobalBroadcaster::OnNews(const PeerUpdate& news) {
  if (news.way == UpdateRoute::kInterRegion) {
    parts_.region.TellCrashes(news.crashes);
    parts_.region.TellLimits(news.limits);
  }
}

std::vector<std::string> GlobalBroadcaster::PickRemoteAddresses() {
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
