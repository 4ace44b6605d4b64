#include "medlarcroft/membership/rendezvous_hash.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace medlarcroft::membership {

namespace {

std::uint64_t Score(std::string_view task, const HostName& host) {
  const XXH64_hash_t seed = XXH3_64bits(task.data(), task.size());
  return XXH3_64bits_withSeed(host.Value().data(), host.Value().size(), seed);
}

}  // namespace

std::vector<HostName> ChooseHostsByRendezvousHash(
    std::string_view task,
    std::span<const HostName> hosts,
    std::size_t count) {
  std::vector<std::pair<std::uint64_t, HostName>> scored;
  scored.reserve(hosts.size());
  for (const HostName& host : hosts) {
    scored.emplace_back(Score(task, host), host);
  }
  std::ranges::sort(scored, std::greater<>());
  std::vector<HostName> chosen;
  for (std::size_t i = 0; i < std::min(count, scored.size()); ++i) {
    chosen.push_back(scored[i].second);
  }
  return chosen;
}

}  // namespace medlarcroft::membership
