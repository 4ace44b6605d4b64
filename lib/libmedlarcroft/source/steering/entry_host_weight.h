#ifndef MEDLARCROFT_STEERING_ENTRY_HOST_WEIGHT_H_
#define MEDLARCROFT_STEERING_ENTRY_HOST_WEIGHT_H_

#include <span>
#include <vector>

#include "medlarcroft/steering/entry_host.h"

namespace medlarcroft::steering {

/// @return the load of the service, or nullptr if there is none.
[[nodiscard]] const ServiceLoad* FindLoad(std::span<const ServiceLoad> loads,
                                          const ServiceName& service);

/// @return the sums of the hosts' weights up to each host, for
/// `WeightedSampler`. A host's weight is its number of slots, of which a full
/// host keeps a quarter.
[[nodiscard]] std::vector<double> CumulativeWeights(
    std::span<const EntryHost* const> hosts,
    const ServiceName& service);

/// @return whether callers may be directed to the host as a first choice.
[[nodiscard]] bool IsServing(const EntryHost& host);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_ENTRY_HOST_WEIGHT_H_
