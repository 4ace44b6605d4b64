#ifndef MEDLARCROFT_REPLICATION_READER_CHOICE_H_
#define MEDLARCROFT_REPLICATION_READER_CHOICE_H_

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::replication {

/// @brief A live host that may read a table for its region.
struct ReaderCandidate {
  HostName host;
  std::string address;
  FailureDomainName failure_domain;
  double link_mbps = 0;
};

/// In a region of more hosts, each failure domain has its own reader. A small
/// host that reads for a hundred others needs seconds to send them a thousand
/// targets, and they time out; moreover most of what it sends crosses domains.
inline constexpr std::size_t kMaxHostsPerReader = 40;

/// @brief Keeps the candidates that may read for a host of `domain`.
/// @param hosts_in_region the number of registered hosts, including those that
/// are not live.
[[nodiscard]] std::vector<ReaderCandidate> EligibleReaders(
    const FailureDomainName& domain,
    std::size_t hosts_in_region,
    std::vector<ReaderCandidate> live);

/// @brief Chooses the host that reads a table for others, by weighted
/// rendezvous hashing: all hosts that know the same candidates choose the same
/// one, a host with twice the bandwidth is four times as likely, and the choice
/// changes only when the chosen host leaves or a preferred one joins.
///
/// Some thirty hosts depend on one reader. A host with a small link would lose
/// its followers while hundreds of targets register, and there may be ten such
/// hosts for each large one.
/// @return null when there are no candidates.
[[nodiscard]] const ReaderCandidate* ChooseReader(
    std::string_view table,
    std::span<const ReaderCandidate> candidates);

/// @brief Chooses the reader of each region, or of each domain where a region
/// has several. All hosts of a region that is too small for a reader are
/// included.
///
/// The store may refuse a third of hundreds of hosts, and each of those
/// requests the rows from other hosts. A host that gets such a request reads
/// the store itself from then on, so requests to arbitrary hosts would make all
/// of them read it.
[[nodiscard]] std::vector<ReaderCandidate> ChooseReadersOfAllRegions(
    std::string_view table,
    std::span<const ReaderCandidate> candidates,
    const std::map<FailureDomainName, RegionName>& regions);

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_READER_CHOICE_H_
