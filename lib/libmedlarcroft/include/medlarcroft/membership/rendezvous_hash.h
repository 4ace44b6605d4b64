#ifndef MEDLARCROFT_MEMBERSHIP_RENDEZVOUS_HASH_H_
#define MEDLARCROFT_MEMBERSHIP_RENDEZVOUS_HASH_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::membership {

/// @brief Chooses the hosts of a domain that do a duty for all of it, such as
/// watching the catalogue's head or talking to other domains, by rendezvous
/// hash: hosts with the same view choose the same ones, and a host's loss moves
/// only its duties. Views differ for a while, so two hosts may do a duty at
/// once; every duty must bear that.
/// @return at most `count` of `hosts`, in order of preference.
[[nodiscard]] std::vector<HostName> ChooseHostsByRendezvousHash(
    std::string_view duty,
    std::span<const HostName> hosts,
    std::size_t count);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_RENDEZVOUS_HASH_H_
