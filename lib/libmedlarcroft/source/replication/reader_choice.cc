#include "medlarcroft/replication/reader_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <limits>
#include <utility>

#include "medlarcroft/replication/follow_timing.h"

namespace medlarcroft::replication {

namespace {

/// Mbit/s for a host that reported none: it may read for others, but rarely
/// does.
constexpr double kMinLinkMbps = 1;

/// @return a number uniform in (0, 1), the same on every host.
double UnitOf(std::string_view table, const HostName& host) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(host.Value().data(), host.Value().size(),
                           XXH3_64bits(table.data(), table.size()));
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

}  // namespace

std::vector<ReaderCandidate> EligibleReaders(
    const FailureDomainName& domain,
    std::size_t hosts_in_region,
    std::vector<ReaderCandidate> live) {
  if (hosts_in_region > kMaxHostsPerReader) {
    std::erase_if(live, [&domain](const ReaderCandidate& candidate) {
      return candidate.failure_domain != domain;
    });
  }
  return live;
}

std::vector<ReaderCandidate> ChooseReadersOfAllRegions(
    std::string_view table,
    std::span<const ReaderCandidate> candidates,
    const std::map<FailureDomainName, RegionName>& regions) {
  std::map<RegionName, std::vector<ReaderCandidate>> by_region;
  std::map<FailureDomainName, RegionName> domains;
  for (const ReaderCandidate& candidate : candidates) {
    const auto region = regions.find(candidate.failure_domain);
    if (region != regions.end()) {
      by_region[region->second].push_back(candidate);
      domains.insert(*region);
    }
  }
  std::vector<ReaderCandidate> readers;
  for (const auto& [domain, region] : domains) {
    const std::vector<ReaderCandidate>& hosts = by_region[region];
    const std::vector<ReaderCandidate> eligible =
        EligibleReaders(domain, hosts.size(), hosts);
    if (hosts.size() <= kMaxDirectReaders) {
      std::ranges::copy_if(eligible, std::back_inserter(readers),
                           [&domain = domain](const ReaderCandidate& host) {
                             return host.failure_domain == domain;
                           });
    } else if (const ReaderCandidate* const reader =
                   ChooseReader(table, eligible)) {
      readers.push_back(*reader);
    }
  }
  return readers;
}

const ReaderCandidate* ChooseReader(
    std::string_view table,
    std::span<const ReaderCandidate> candidates) {
  const ReaderCandidate* chosen = nullptr;
  double lowest_cost = std::numeric_limits<double>::infinity();
  for (const ReaderCandidate& candidate : candidates) {
    const double link = std::max(candidate.link_mbps, kMinLinkMbps);
    const double cost =
        -std::log(UnitOf(table, candidate.host)) / (link * link);
    if (cost < lowest_cost) {
      lowest_cost = cost;
      chosen = &candidate;
    }
  }
  return chosen;
}

}  // namespace medlarcroft::replication
