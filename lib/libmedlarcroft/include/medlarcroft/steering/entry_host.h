#ifndef MEDLARCROFT_STEERING_ENTRY_HOST_H_
#define MEDLARCROFT_STEERING_ENTRY_HOST_H_

#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/steering/domain_load.h"

namespace medlarcroft::steering {

/// @brief Lifecycle phase that a host reports about itself.
enum class EntryHostPhase { kStarting, kReady, kLeaving };

/// @brief Liveness of a host according to the failure detector.
enum class EntryHostLiveness { kAlive, kSuspect, kDead, kUnknown };

/// @brief A known entry host, which accepts callers' requests, as the look-up
/// planner sees it.
struct EntryHost {
  HostName host;
  std::string address;  ///< IP:port where it accepts callers' requests.
  FailureDomainName failure_domain;
  EntryHostPhase phase = EntryHostPhase::kStarting;
  EntryHostLiveness liveness = EntryHostLiveness::kUnknown;
  std::vector<ServiceLoad> loads;  ///< Its share of the domain's load.
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_ENTRY_HOST_H_
