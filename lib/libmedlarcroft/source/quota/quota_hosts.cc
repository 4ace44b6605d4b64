#include "medlarcroft/quota/quota_hosts.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "medlarcroft/core/mix_bits.h"

namespace medlarcroft::quota {

namespace {

// Hosts of another group that are tried as its issuer, one after another.
constexpr std::size_t kMaxHostsPerGroup = 4;

std::string GroupOf(const QuotaCandidate& host, QuotaGroup group) {
  switch (group) {
    case QuotaGroup::kHost:
      return std::to_string(host.number);
    case QuotaGroup::kFailureDomain:
      return host.failure_domain.Value();
    case QuotaGroup::kRegion:
      break;
  }
  return host.region.Value();
}

std::vector<HostNumber> InOrder(std::vector<const QuotaCandidate*> hosts) {
  std::ranges::sort(hosts, [](const auto* left, const auto* right) {
    return std::tuple(-left->link_mbps, MixBits(left->number)) <
           std::tuple(-right->link_mbps, MixBits(right->number));
  });
  std::vector<HostNumber> numbers;
  numbers.reserve(hosts.size());
  for (const QuotaCandidate* const host : hosts) {
    numbers.push_back(host->number);
  }
  return numbers;
}

}  // namespace

QuotaHosts MakeQuotaHosts(std::span<const QuotaCandidate> candidates,
                          const QuotaCandidate& self,
                          QuotaGroup group) {
  const std::string own_group = GroupOf(self, group);
  std::vector<const QuotaCandidate*> own;
  // Groups of this region come first: their answers take less time.
  std::map<std::pair<bool, std::string>, std::vector<const QuotaCandidate*>>
      others;
  QuotaHosts hosts{.listed = static_cast<std::uint32_t>(candidates.size())};
  for (const QuotaCandidate& host : candidates) {
    const bool is_own_region = host.region == self.region;
    const std::string name = GroupOf(host, group);
    if (name == own_group) {
      if (host.number != self.number) {
        hosts.listed_in_group.push_back(host.number);
      }
      if (host.is_ready) {
        own.push_back(&host);
      }
    } else if (host.is_ready || !is_own_region) {
      others[{!is_own_region, name}].push_back(&host);
    }
  }
  hosts.own_group = InOrder(std::move(own));
  for (auto& [name, members] : others) {
    hosts.other_groups.push_back(InOrder(std::move(members)));
    auto& numbers = hosts.other_groups.back();
    numbers.resize(std::min(numbers.size(), kMaxHostsPerGroup));
  }
  return hosts;
}

}  // namespace medlarcroft::quota
