#ifndef MEDLARCROFT_ROUTING_ROUTING_CONFIGURATION_H_
#define MEDLARCROFT_ROUTING_ROUTING_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/routing/client_account.h"

namespace medlarcroft::routing {

/// @brief Whether a request may be retried after it may have run.
enum class RequestKind { kIdempotent, kNonIdempotent };

/// @brief One of the services among which a route's requests are divided.
struct WeightedService {
  ServiceName service;
  double weight = 1.0;  ///< Relative to the weights of the other services.
};

/// @brief Selects requests by host and path, and sets their services and
/// limits.
struct Route {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Starts and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  /// The configured kind if this version does not know it.
  std::optional<std::string> unknown_kind;
  /// Longest time that a caller waits for the response.
  Duration timeout = std::chrono::seconds(1);
  /// A response within this time has the full value.
  Duration latency_objective = std::chrono::seconds(1);
  std::uint32_t max_attempts = 1;  ///< Targets that a request may be sent to.
  int priority = 0;                ///< 0 is the highest.
  std::vector<WeightedService> weighted_services;  ///< Not empty.
  /// Whether targets process an object faster that they handled recently.
  bool is_sticky = false;
  /// Whether requests need no API key.
  bool is_public = false;
  /// Regions whose targets may run the requests; empty: all.
  std::vector<RegionName> allowed_regions;
};

/// @brief Limits that the targets of a service can handle.
struct ServiceRules {
  ServiceName name;
  std::string health_path = "/";
  std::uint32_t max_connections = 100;  ///< To one target, from all hosts.
  /// How long a target stays cold after its start.
  Duration cold_time{0};
  /// Requests per second that one cold target can handle, from all hosts
  /// together.
  double cold_requests_per_second = 0;
};

/// @brief Limits on the size and duration of caller requests.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief One complete version of the routing configuration.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceRules> services;
  CallerLimits limits;
  /// Empty: requests need no API key.
  std::vector<ClientAccount> accounts;
};

}  // namespace medlarcroft::routing

#endif  // MEDLARCROFT_ROUTING_ROUTING_CONFIGURATION_H_
