#ifndef MEDLARCROFT_ROUTING_ROUTE_TABLE_H_
#define MEDLARCROFT_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "medlarcroft/routing/routing_configuration.h"

namespace medlarcroft::routing {

/// @brief The routing configuration in force. Its version never decreases
/// within a process, so that delayed or repeated updates cannot revert what
/// callers have already observed.
class RouteTable {
 public:
  /// @return false when `configuration` is not newer than the one in force.
  bool Apply(RoutingConfiguration configuration);

  /// @param host as sent by the caller; case and port are ignored.
  /// @param target path and query as sent.
  /// @return the route with the longest matching path prefix, or null. It stays
  /// valid while the caller holds it, even after a newer version is applied.
  [[nodiscard]] std::shared_ptr<const Route> Find(
      std::string_view host,
      std::string_view target) const;

  /// @return the service for the route's next request. Within any sequence of
  /// requests each service gets its share by weight, within one request.
  [[nodiscard]] ServiceName ChooseService(const Route& route);

  [[nodiscard]] bool IsConfigured() const { return version_ > 0; }
  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] const CallerLimits& Limits() const { return limits_; }
  [[nodiscard]] const ClientAccountTable& Accounts() const { return accounts_; }
  /// @return the settings of a service, or null.
  [[nodiscard]] const ServiceRules* FindService(const ServiceName& name) const;

 private:
  std::uint64_t version_ = 0;
  CallerLimits limits_;
  ClientAccountTable accounts_;
  std::unordered_map<ServiceName, ServiceRules> services_;
  // By host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
      routes_;
  // By route: requests that are due to each service by weight, minus those that
  // it got.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace medlarcroft::routing

#endif  // MEDLARCROFT_ROUTING_ROUTE_TABLE_H_
