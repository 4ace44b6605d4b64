#ifndef MEDLARCROFT_QUOTA_QUOTA_HOSTS_H_
#define MEDLARCROFT_QUOTA_QUOTA_HOSTS_H_

#include <cstdint>
#include <span>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/quota/quota_message.h"

namespace medlarcroft::quota {

/// @brief The hosts among which quotas are divided, as known to one host.
struct QuotaHosts {
  /// Number of hosts that have a share of the quotas, this one included; 0:
  /// unknown.
  std::uint32_t listed = 0;
  /// The live hosts of this host's group, in an order that all hosts share. The
  /// first one is the issuer of the group.
  std::vector<HostNumber> own_group;
  /// The other listed hosts of the group, live or not.
  std::vector<HostNumber> listed_in_group;
  /// The hosts of each other group in such an order, live or not.
  std::vector<std::vector<HostNumber>> other_groups;
};

/// @brief Which hosts share an issuer.
enum class QuotaGroup {
  kHost,  ///< Each host issues tokens from its own share.
  kFailureDomain,
  kRegion,
};

/// @brief A listed host.
struct QuotaCandidate {
  HostNumber number = kNoHost;
  FailureDomainName failure_domain;
  RegionName region;
  /// A measure of the host's capacity. Hosts with more of it are preferred as
  /// issuers.
  double link_mbps = 0;
  /// Known to be ready. Of hosts in other regions this is unknown, and false.
  bool is_ready = false;
};

/// @param self this host, which is one of `candidates` unless it is not listed
/// yet.
[[nodiscard]] QuotaHosts MakeQuotaHosts(
    std::span<const QuotaCandidate> candidates,
    const QuotaCandidate& self,
    QuotaGroup group);

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_QUOTA_HOSTS_H_
