// Cost per request and per datagram on one host in a region of about 100 hosts,
// with 549 targets of a service in nine failure domains: dispatching a request
// and handling its answer, receiving a digest of heartbeats, answering a
// look-up.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fakes/seeded_random.h"
#include "fakes/virtual_time.h"
#include "medlarcroft/membership/lookup_answer.h"
#include "medlarcroft/peer_updates/region_broadcaster.h"
#include "medlarcroft/request_path/request_path.h"
#include "reference_sort.h"

namespace medlarcroft {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr int kTargets = 549;
constexpr int kDomains = 9;
constexpr int kRegions = 3;
constexpr int kPeers = 98;
constexpr int kObjects = 297;

class NoObserver final : public request_path::TargetDirectoryObserver {
 public:
  void OnTargetChange(request_path::TargetChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
};

class NoSender final : public peer_updates::UpdateSender {
 public:
  void Send(std::span<const std::string> /*addresses*/,
            const peer_updates::PeerUpdate& /*update*/) override {}
};

std::string DomainName(int number) {
  return "domain-" + std::to_string(number % kDomains);
}

request_path::DomainRegions Regions() {
  request_path::DomainRegions regions;
  for (int domain = 0; domain < kDomains; ++domain) {
    regions[FailureDomainName(DomainName(domain))] =
        RegionName("region-" + std::to_string(domain % kRegions));
  }
  return regions;
}

void PlaceAndAnswer(benchmark::State& state) {
  const ServiceName service("plan-library");
  NoObserver observer;
  fakes::SeededRandom random(1);
  routing::RouteTable routes;
  request_path::TargetDirectory directory(Regions(), observer);
  request_path::RequestPath path({.own_region = RegionName("region-0")}, routes,
                                 directory, random);
  routes.Apply({.version = 1,
                .routes = {{.name = "r",
                            .host = "h",
                            .path_prefix = "/",
                            .kind = routing::RequestKind::kIdempotent,
                            .timeout = std::chrono::seconds(4),
                            .latency_objective = std::chrono::seconds(2),
                            .max_attempts = 2,
                            .weighted_services = {{.service = service}},
                            .is_sticky = true}}});
  std::vector<request_path::TargetRecord> targets;
  targets.reserve(kTargets);
  for (int number = 0; number < kTargets; ++number) {
    targets.push_back({.id = TargetName("target-" + std::to_string(number)),
                       .service = service,
                       .address = "10.0.0.1:" + std::to_string(number),
                       .domain = FailureDomainName(DomainName(number)),
                       .slots = 9});
  }
  directory.ReplaceAll(targets, {}, std::nullopt, kNow);
  MonotonicTime now = kNow;
  std::uint64_t number = 0;
  for (auto iteration : state) {
    (void)iteration;
    now += std::chrono::milliseconds(60);
    const request_path::RequestStart start =
        path.Begin({.host = "h",
                    .target = "/x",
                    .object = std::to_string(number++ % kObjects)},
                   now);
    benchmark::DoNotOptimize(path.OnAttemptEnd(
        start.ticket, 1, request_path::AttemptEnd::kAnswered, now));
  }
}

void HearDigest(benchmark::State& state) {
  fakes::VirtualTime time;
  fakes::HostTimers timers(time, 0);
  NoSender sender;
  peer_updates::RegionBroadcaster region(
      {.host = HostName("host"),
       .failure_domain = FailureDomainName(DomainName(0))},
      timers, sender);
  std::vector<peer_updates::Peer> peers;
  peer_updates::PeerUpdate digest{.way = peer_updates::UpdateRoute::kDigest};
  for (int number = 0; number < kPeers; ++number) {
    const HostName host("peer-" + std::to_string(number));
    peers.push_back({.host = host,
                     .address = "10.0.0.1:1",
                     .failure_domain = FailureDomainName(DomainName(number))});
    digest.heartbeats.push_back({.host_hash = membership::HashOf(host)});
  }
  region.SetPeers(peers);
  for (auto iteration : state) {
    (void)iteration;
    region.OnUpdate(digest);
  }
}

void AnswerLookup(benchmark::State& state) {
  fakes::SeededRandom random(1);
  std::vector<membership::LookupCandidate> hosts;
  hosts.reserve(kPeers);
  for (int number = 0; number < kPeers; ++number) {
    hosts.push_back({.address = "10.0.0.1:" + std::to_string(number),
                     .failure_domain = FailureDomainName(DomainName(number)),
                     .link_mbps = number < kDomains ? 200.0 : 20.0});
  }
  const FailureDomainName own(DomainName(0));
  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(membership::ChooseLookupHosts(hosts, own, random));
  }
}

BENCHMARK(PlaceAndAnswer);
BENCHMARK(HearDigest);
BENCHMARK(AnswerLookup);

}  // namespace
}  // namespace medlarcroft
