#ifndef MEDLARCROFT_MEMBERSHIP_LOOKUP_ANSWER_H_
#define MEDLARCROFT_MEMBERSHIP_LOOKUP_ANSWER_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::membership {

/// @brief A ready host that a look-up may return.
struct LookupCandidate {
  std::string address;
  FailureDomainName failure_domain;
  double link_mbps = 0;  ///< A measure of the host's capacity.
};

/// In a region of up to this many hosts, look-ups return all of them.
inline constexpr std::size_t kMaxHostsListedInFull = 16;
/// In a larger region each look-up returns this many, drawn anew.
inline constexpr std::size_t kHostsPerAnswer = 8;

/// @brief Chooses the hosts that one look-up returns.
///
/// A region may have a hundred hosts of unequal size, while callers read only
/// the first addresses of an answer and use each of them equally. With a fixed
/// order, hosts at its end would get no requests, and small hosts at its front
/// as many as large ones; requests would also cross domains without need. So
/// each answer contains a few hosts of the caller's own domain, drawn with a
/// probability by their bandwidth. If that domain has too few hosts left, hosts
/// of other domains are added.
/// @param domain the caller's domain; empty when it is unknown.
[[nodiscard]] std::vector<std::string> ChooseLookupHosts(
    std::span<const LookupCandidate> hosts,
    const FailureDomainName& domain,
    ports::RandomSource& random);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_LOOKUP_ANSWER_H_
