#ifndef MEDLARCROFT_REQUEST_PATH_ALLOWED_REGIONS_H_
#define MEDLARCROFT_REQUEST_PATH_ALLOWED_REGIONS_H_

#include <algorithm>
#include <iterator>
#include <optional>
#include <vector>

#include "medlarcroft/routing/routing_configuration.h"

namespace medlarcroft::request_path {

/// @return the regions that both the route and the account allow; empty: all;
/// nullopt: they have no region in common.
[[nodiscard]] inline std::optional<std::vector<RegionName>> AllowedRegions(
    const routing::Route& route,
    const routing::ClientAccount* account) {
  if (account == nullptr || account->allowed_regions.empty()) {
    return route.allowed_regions;
  }
  if (route.allowed_regions.empty()) {
    return account->allowed_regions;
  }
  std::vector<RegionName> common;
  std::ranges::copy_if(route.allowed_regions, std::back_inserter(common),
                       [&](const RegionName& region) {
                         return std::ranges::find(account->allowed_regions,
                                                  region) !=
                                account->allowed_regions.end();
                       });
  return common.empty() ? std::nullopt : std::optional(common);
}

/// @return whether targets of the region may run a request with `allowed`.
[[nodiscard]] inline bool IsAllowedRegion(
    const RegionName& region,
    const std::vector<RegionName>& allowed) {
  return allowed.empty() || std::ranges::find(allowed, region) != allowed.end();
}

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_ALLOWED_REGIONS_H_
