#include "medlarcroft/membership/lookup_answer.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::membership {

namespace {

// Mbit/s for a host that reported none.
constexpr double kMinLinkMbps = 1;

struct Draw {
  const LookupCandidate* host = nullptr;
  bool is_other_domain = false;
  double cost = 0;
};

}  // namespace

std::vector<std::string> ChooseLookupHosts(
    std::span<const LookupCandidate> hosts,
    const FailureDomainName& domain,
    ports::RandomSource& random) {
  std::vector<Draw> draws;
  draws.reserve(hosts.size());
  for (const LookupCandidate& host : hosts) {
    // The hosts with the smallest costs are a weighted random sample without
    // replacement.
    const double unit = 1.0 - random.NextUnit();
    draws.push_back(
        {.host = &host,
         .is_other_domain = host.failure_domain != domain,
         .cost = -std::log(unit) / std::max(host.link_mbps, kMinLinkMbps)});
  }
  if (draws.size() > kMaxHostsListedInFull) {
    std::ranges::partial_sort(
        draws, draws.begin() + kHostsPerAnswer,
        [](const Draw& left, const Draw& right) {
          if (left.is_other_domain != right.is_other_domain) {
            return right.is_other_domain;
          }
          return left.cost < right.cost;
        });
    draws.resize(kHostsPerAnswer);
  }
  std::vector<std::string> chosen;
  chosen.reserve(draws.size());
  for (const Draw& draw : draws) {
    chosen.push_back(draw.host->address);
  }
  return chosen;
}

}  // namespace medlarcroft::membership
