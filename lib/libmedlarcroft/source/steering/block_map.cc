#include "medlarcroft/steering/block_map.h"

#include <utility>

namespace medlarcroft::steering {

BlockMap::BlockMap(std::uint64_t version,
                   std::vector<Site> sites,
                   PrefixTable<std::uint32_t> ipv4,
                   PrefixTable<std::uint64_t> ipv6)
    : version_(version),
      sites_(std::move(sites)),
      ipv4_(std::move(ipv4)),
      ipv6_(std::move(ipv6)) {}

std::optional<SiteId> BlockMap::FindSite(const ClientAddress& address) const {
  const std::optional<std::uint16_t> value =
      address.family == AddressFamily::kIpv4
          ? ipv4_.Find(static_cast<std::uint32_t>(address.bits))
          : ipv6_.Find(address.bits);
  if (!value) {
    return std::nullopt;
  }
  return SiteId{*value};
}

std::span<const FailureDomainName> BlockMap::FindDomains(
    const ClientAddress& address) const {
  const auto site = FindSite(address);
  if (!site || static_cast<std::size_t>(*site) >= sites_.size()) {
    return {};
  }
  return sites_[static_cast<std::size_t>(*site)].failure_domains;
}

std::optional<FailureDomainName> BlockMap::FindNearest(
    const ClientAddress& address,
    const catalogue::CatalogueView& catalogue) const {
  for (const FailureDomainName& domain : FindDomains(address)) {
    if (catalogue.FindFailureDomain(domain) != nullptr) {
      return domain;
    }
  }
  return std::nullopt;
}

std::size_t BlockMap::MemoryBytes() const {
  std::size_t bytes = ipv4_.MemoryBytes() + ipv6_.MemoryBytes();
  for (const Site& site : sites_) {
    bytes += sizeof(Site) + site.name.capacity() +
             site.failure_domains.capacity() * sizeof(FailureDomainName);
  }
  return bytes;
}

}  // namespace medlarcroft::steering
