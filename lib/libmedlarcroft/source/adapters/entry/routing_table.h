#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_TABLE_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gen-cpp/medlarcroft_types.h"
#include "medlarcroft/capacity/capacity_plan.h"
#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/service_config.h"

namespace medlarcroft::adapters {

/// @brief Another failure domain that takes part of a service's demand.
struct ShiftRoute {
  FailureDomainName failure_domain;
  std::vector<std::string> entry_addresses;
  double share = 0;  ///< Fraction of the domain's demand, 0 to 1.
  double rate = 0;   ///< Whole domain's, in requests per second.
};

/// @brief A service with its targets as seen by this host. The slot shares of
/// the targets are filled in from what this host holds.
struct ServiceRoute {
  decision::ServiceConfig config;
  std::map<TargetName, std::string> target_addresses;
  std::vector<ShiftRoute> shifts;
};

/// @brief Addresses of another entry host.
struct HostRoute {
  std::string entry_address;
  std::string share_address;
};

/// @brief One numbered snapshot of the routes from steerd; immutable.
struct RoutingTable {
  std::int64_t number = 0;
  std::int64_t catalogue_revision = 0;
  std::map<ServiceName, ServiceRoute> services;
  std::map<HostName, HostRoute> hosts;
  /// Capacity of each link from this failure domain, in requests per second.
  std::map<FailureDomainName, double> links;
  capacity::CapacityPlan capacity;

  /// @return the service's routes, or nullptr.
  [[nodiscard]] const ServiceRoute* Find(const ServiceName& service) const;
};

using SharedRoutingTable = std::shared_ptr<const RoutingTable>;

/// @param requested_at time at which this host requested the snapshot, by its
/// own clock; ages in the snapshot are relative to it.
[[nodiscard]] RoutingTable ToRoutingTable(const wire::RoutingSnapshot& snapshot,
                                          MonotonicTime requested_at);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ROUTING_TABLE_H_
