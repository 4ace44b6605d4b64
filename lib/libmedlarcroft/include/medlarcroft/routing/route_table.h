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

/// @brief The configuration in force. Versions only rise within one process, so
/// that no late or repeated news takes back what callers have seen.
class RouteTable {
 public:
  /// @return false when `configuration` is not newer than what is in force.
  bool Apply(RoutingConfiguration configuration);

  /// @param host as the caller named it; case and port do not count.
  /// @param target path and query as sent.
  /// @return the route with the longest prefix of the path, or null. It stays
  /// good while the caller holds it, also when a newer version is applied.
  [[nodiscard]] std::shared_ptr<const Route> Find(
      std::string_view host,
      std::string_view target) const;

  /// @return the service that takes the route's next request. Over any run of
  /// requests each part gets its weight's share, one request off at most.
  [[nodiscard]] ServiceName ChoosePart(const Route& route);

  [[nodiscard]] bool IsConfigured() const { return version_ > 0; }
  [[nodiscard]] std::uint64_t Version() const { return version_; }
  [[nodiscard]] const CallerLimits& Limits() const { return limits_; }
  /// @return the rules of a service, or null.
  [[nodiscard]] const ServiceRules* FindService(const ServiceName& name) const;

 private:
  std::uint64_t version_ = 0;
  CallerLimits limits_;
  std::unordered_map<ServiceName, ServiceRules> services_;
  // By host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>>
      routes_;
  // By route, what each part is owed, in parts of one request.
  std::unordered_map<std::string, std::vector<double>> owed_;
};

}  // namespace medlarcroft::routing

#endif  // MEDLARCROFT_ROUTING_ROUTE_TABLE_H_
