#ifndef MEDLARCROFT_STEERING_BLOCK_MAP_H_
#define MEDLARCROFT_STEERING_BLOCK_MAP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/steering/client_address.h"
#include "medlarcroft/steering/prefix_table.h"

namespace medlarcroft::steering {

/// @brief Index of a site in the site list of its `BlockMap`.
enum class SiteId : std::uint16_t {};

/// @brief A client location to which blocks of client addresses are assigned.
struct Site {
  std::string name;
  /// Failure domains that serve the site, nearest first.
  std::vector<FailureDomainName> failure_domains;
};

/// @brief Maps blocks of client addresses (CIDR prefixes) to sites, at one
/// version.
///
/// Immutable, so that look-ups need no lock.
class BlockMap {
 public:
  BlockMap() = default;
  BlockMap(std::uint64_t version,
           std::vector<Site> sites,
           PrefixTable<std::uint32_t> ipv4,
           PrefixTable<std::uint64_t> ipv6);

  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] std::span<const Site> Sites() const { return sites_; }
  [[nodiscard]] const PrefixTable<std::uint32_t>& Ipv4() const { return ipv4_; }
  [[nodiscard]] const PrefixTable<std::uint64_t>& Ipv6() const { return ipv6_; }

  /// @return the site of the longest matching block; nullopt if no block
  /// contains the address.
  [[nodiscard]] std::optional<SiteId> FindSite(
      const ClientAddress& address) const;
  /// @return the failure domains of the address's site, nearest first; empty if
  /// no block contains the address.
  [[nodiscard]] std::span<const FailureDomainName> FindDomains(
      const ClientAddress& address) const;
  /// @return the nearest failure domain that the catalogue knows, whether
  /// drained or not.
  ///
  /// The block map and the catalogue are updated independently, so the map may
  /// name a domain that the catalogue does not have yet or no longer has.
  /// Drained domains are not skipped here, because that would move all of their
  /// callers within one TTL; `LookupPlanner` moves them only as far as the
  /// shift plan has capacity for them.
  [[nodiscard]] std::optional<FailureDomainName> FindNearest(
      const ClientAddress& address,
      const catalogue::CatalogueView& catalogue) const;

  [[nodiscard]] std::size_t MemoryBytes() const;

 private:
  std::uint64_t version_ = 0;
  std::vector<Site> sites_;
  PrefixTable<std::uint32_t> ipv4_;
  PrefixTable<std::uint64_t> ipv6_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_BLOCK_MAP_H_
