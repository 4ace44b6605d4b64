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

/// In a region of more hosts each failure domain has a reader of its own. A
/// small host that reads for a hundred others takes seconds to tell them of a
/// thousand targets, and they give it up; and most of what it tells crosses
/// domains.
inline constexpr std::size_t kMostHostsOfAReader = 40;

/// @brief Keeps the candidates that may read for a host of that domain.
/// @param hosts_in_region that are listed, also those that were not heard.
[[nodiscard]] std::vector<ReaderCandidate> CandidatesFor(
    const FailureDomainName& domain,
    std::size_t hosts_in_region,
    std::vector<ReaderCandidate> live);

/// @brief Chooses the host that reads a table for others, by rendezvous
/// hashing: the same one on all hosts that know of the same candidates, a host
/// with twice the link four times as likely, and another host only when that
/// one goes or a better one comes.
///
/// Load: some thirty hosts hear from one. A host of a small link would lose its
/// followers as hundreds of targets register, and there may be ten small ones
/// for each large one.
/// @return null when there are no candidates.
[[nodiscard]] const ReaderCandidate* ChooseReader(
    std::string_view table,
    std::span<const ReaderCandidate> candidates);

/// @brief Chooses the reader of each region, or domain where a region has
/// several; of a region that is too small to have one, all its hosts.
///
/// Load: the store turns a third of hundreds of hosts away, and each of those
/// asks others. Whoever is asked reads the store itself from then on, so asking
/// just anyone would make all hosts read it.
[[nodiscard]] std::vector<ReaderCandidate> ReadersOfAll(
    std::string_view table,
    std::span<const ReaderCandidate> candidates,
    const std::map<FailureDomainName, RegionName>& regions);

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_READER_CHOICE_H_
