#ifndef MEDLARCROFT_ROUTING_ROUTING_CONFIGURATION_H_
#define MEDLARCROFT_ROUTING_ROUTING_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::routing {

/// @brief What may be repeated.
enum class RequestKind { kIdempotent, kNonIdempotent };

/// @brief One of the services that share a route's requests.
struct WeightedService {
  ServiceName service;
  double weight = 1.0;  ///< In proportion to the other parts' weights.
};

/// @brief Which requests go where, and within what bounds.
struct Route {
  std::string name;
  std::string host;         ///< Lower case, without a port.
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Longest time that a caller is kept waiting.
  Duration timeout = std::chrono::seconds(1);
  /// An answer within it is worth most.
  Duration latency_objective = std::chrono::seconds(1);
  std::uint32_t max_attempts = 1;  ///< Targets that one request may be sent to.
  int priority = 0;                ///< 0 is the highest.
  std::vector<WeightedService> weighted_services;  ///< At least one.
  /// Targets work faster on an object that they handled lately.
  bool is_sticky = false;
  /// Regions whose targets may run it; empty: all.
  std::vector<RegionName> allowed_regions;
};

/// @brief What a service's targets bear.
struct ServiceRules {
  ServiceName name;
  std::string health_path = "/";
  std::uint32_t max_connections = 100;  ///< Of one target, from all hosts.
  /// How long a target is cold after its start.
  Duration cold_time{0};
  /// What one cold target bears, from all hosts together.
  double cold_requests_per_second = 0;
};

/// @brief What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief One version of all routes, whole.
struct RoutingConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceRules> services;
  CallerLimits limits;
};

}  // namespace medlarcroft::routing

#endif  // MEDLARCROFT_ROUTING_ROUTING_CONFIGURATION_H_
