#include "medlarcroft/membership/lookup_answer.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::membership {

namespace {

// Mbit/s of a host that told none.
constexpr double kLeastLink = 1;

struct Draw {
  const LookupCandidate* host = nullptr;
  bool is_elsewhere = false;
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
    // The least of such numbers are a draw without repetition, by weight.
    const double unit = 1.0 - random.NextUnit();
    draws.push_back(
        {.host = &host,
         .is_elsewhere = host.failure_domain != domain,
         .cost = -std::log(unit) / std::max(host.link_mbps, kLeastLink)});
  }
  if (draws.size() > kMostHostsNamedWhole) {
    std::ranges::partial_sort(draws, draws.begin() + kHostsNamed,
                              [](const Draw& left, const Draw& right) {
                                if (left.is_elsewhere != right.is_elsewhere) {
                                  return right.is_elsewhere;
                                }
                                return left.cost < right.cost;
                              });
    draws.resize(kHostsNamed);
  }
  std::vector<std::string> named;
  named.reserve(draws.size());
  for (const Draw& draw : draws) {
    named.push_back(draw.host->address);
  }
  return named;
}

}  // namespace medlarcroft::membership
