#ifndef MEDLARCROFT_MEMBERSHIP_RENDEZVOUS_HASH_H_
#define MEDLARCROFT_MEMBERSHIP_RENDEZVOUS_HASH_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::membership {

/// @brief Chooses, by rendezvous hashing, the hosts that perform a task for a
/// whole failure domain, such as polling the head of the catalogue or calling
/// other domains. Hosts that know the same hosts choose the same ones, and the
/// loss of a host moves only its tasks. For a while hosts may know different
/// hosts, so more than `count` of them may perform a task at once; every task
/// must tolerate that.
/// @return at most `count` of `hosts`, in order of preference.
[[nodiscard]] std::vector<HostName> ChooseHostsByRendezvousHash(
    std::string_view task,
    std::span<const HostName> hosts,
    std::size_t count);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_RENDEZVOUS_HASH_H_
