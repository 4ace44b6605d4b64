#ifndef MEDLARCROFT_BENCHMARKS_PLANNED_SIZE_H_
#define MEDLARCROFT_BENCHMARKS_PLANNED_SIZE_H_

#include <string>
#include <utility>
#include <vector>

#include "medlarcroft/steering/domain_load.h"
#include "unit/steering/steering_fixture.h"

namespace medlarcroft::benchmarks {

inline constexpr int kDomains = 17;
inline constexpr int kRegions = 7;
inline constexpr int kHostsPerDomain = 52;
inline constexpr double kSlotsPerDomain = 100.0;

inline std::string DomainName(int domain) {
  return "r" + std::to_string(domain % kRegions) + "-" +
         std::to_string(domain / kRegions);
}

inline ServiceName ServiceOf(int service) {
  return ServiceName("service-" + std::to_string(service));
}

/// @return a catalogue with 17 failure domains in 7 regions, links in both
/// directions between all of them, and `services` services.
inline catalogue::SharedCatalogueView PlannedCatalogue(int services) {
  steering::fixture::CatalogueBuilder builder;
  for (int from = 0; from < kDomains; ++from) {
    builder.AddDomain(DomainName(from), "r" + std::to_string(from % kRegions));
    for (int to = 0; to < kDomains; ++to) {
      if (from != to) {
        const bool is_near = from % kRegions == to % kRegions;
        builder.Add(catalogue::LinkEntry{
            .from = FailureDomainName(DomainName(from)),
            .to = FailureDomainName(DomainName(to)),
            .latency = std::chrono::milliseconds(is_near ? 1 : 55)});
      }
    }
  }
  for (int service = 0; service < services; ++service) {
    builder.Add(catalogue::ServiceEntry{.service = ServiceOf(service)});
  }
  return builder.Build();
}

/// @param utilisation demand of each domain as a fraction of its capacity.
/// @param first_utilisation the same for the first domain.
inline std::vector<steering::DomainLoad>
PlannedLoads(int services, double utilisation, double first_utilisation) {
  constexpr double kCapacity = kSlotsPerDomain / 0.02;
  std::vector<steering::DomainLoad> loads;
  for (int domain = 0; domain < kDomains; ++domain) {
    const double demand =
        kCapacity * (domain == 0 ? first_utilisation : utilisation);
    steering::DomainLoad load{
        .failure_domain = FailureDomainName(DomainName(domain)),
        .live_hosts = kHostsPerDomain};
    for (int service = 0; service < services; ++service) {
      load.loads.push_back(
          {.service = ServiceOf(service),
           .demand_per_second = demand,
           .outstanding = std::min(demand * 0.02, kSlotsPerDomain),
           .usable_slots = kSlotsPerDomain});
    }
    loads.push_back(std::move(load));
  }
  return loads;
}

}  // namespace medlarcroft::benchmarks

#endif  // MEDLARCROFT_BENCHMARKS_PLANNED_SIZE_H_
