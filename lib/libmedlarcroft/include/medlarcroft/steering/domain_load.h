#ifndef MEDLARCROFT_STEERING_DOMAIN_LOAD_H_
#define MEDLARCROFT_STEERING_DOMAIN_LOAD_H_

#include <cstdint>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::steering {

/// @brief Measured load of one service in one failure domain or on one host.
struct ServiceLoad {
  ServiceName service;
  /// Requests per second that callers send to this domain, including those that
  /// it refuses or forwards elsewhere, excluding those that other domains
  /// forward to it.
  double demand_per_second = 0.0;
  double outstanding = 0.0;   ///< Requests being processed by targets.
  double queued = 0.0;        ///< Requests waiting for a slot.
  double usable_slots = 0.0;  ///< Slots of targets that accept new work.
  double refused_per_second = 0.0;
  double shifted_in_per_second = 0.0;
};

/// @brief Total load of one failure domain, as last reported.
struct DomainLoad {
  FailureDomainName failure_domain;
  std::uint32_t live_hosts = 0;
  /// Time since the domain measured it, by the reader's clock.
  Duration age = Duration::zero();
  std::vector<ServiceLoad> loads;
};

/// @brief Demand that look-up answers have already sent to a domain but that
/// its measurements may not show yet.
struct PendingDemand {
  ServiceName service;
  FailureDomainName failure_domain;
  double demand_per_second = 0.0;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_DOMAIN_LOAD_H_
