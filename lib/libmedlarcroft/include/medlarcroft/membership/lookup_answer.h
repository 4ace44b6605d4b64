#ifndef MEDLARCROFT_MEMBERSHIP_LOOKUP_ANSWER_H_
#define MEDLARCROFT_MEMBERSHIP_LOOKUP_ANSWER_H_

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::membership {

/// @brief A ready host that callers may be sent to.
struct LookupCandidate {
  std::string address;
  FailureDomainName failure_domain;
  double link_mbps = 0;  ///< Stands for what the host carries.
};

/// A region of no more hosts than that names all of them.
inline constexpr std::size_t kMostHostsNamedWhole = 16;
/// A larger one names so many, anew in each answer.
inline constexpr std::size_t kHostsNamed = 8;

/// @brief Chooses the hosts that one look-up names.
///
/// Load: a hundred hosts of unequal size in a region; callers read only the
/// first addresses of an answer and use each of them alike. Harm prevented:
/// hosts at the end of a fixed order get nothing while small ones at its front
/// carry as much as large ones; and a request crosses domains for nothing. So
/// each answer names a few hosts of the caller's own domain, drawn by what they
/// carry; a domain that has too few left is helped out by the others.
/// @param domain the caller's; empty: unknown.
[[nodiscard]] std::vector<std::string> ChooseLookupHosts(
    std::span<const LookupCandidate> hosts,
    const FailureDomainName& domain,
    ports::RandomSource& random);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_LOOKUP_ANSWER_H_
