#include "medlarcroft/request_path/bound_demand.h"

#include <algorithm>
#include <map>
#include <utility>

namespace medlarcroft::request_path {

namespace {

using Accounts = std::span<const std::shared_ptr<const routing::ClientAccount>>;

double MeanQuota(Accounts accounts) {
  double sum = 0;
  double limited = 0;
  for (const auto& account : accounts) {
    if (!account->quota.IsUnlimited()) {
      sum += account->quota.requests_per_second;
      ++limited;
    }
  }
  return limited > 0 ? sum / limited : 1.0;
}

double SlotsIn(const RegionSlots& slots,
               const std::vector<RegionName>& regions) {
  double sum = 0;
  for (const RegionName& region : regions) {
    const auto found = slots.find(region);
    sum += found == slots.end() ? 0.0 : found->second;
  }
  return sum;
}

}  // namespace

std::vector<BoundDemand> BoundDemandsOf(Accounts accounts) {
  const double mean = MeanQuota(accounts);
  const double all = mean * static_cast<double>(accounts.size());
  std::map<std::vector<RegionName>, double> fractions;
  for (const auto& account : accounts) {
    if (account->allowed_regions.empty()) {
      continue;
    }
    std::vector<RegionName> regions = account->allowed_regions;
    std::ranges::sort(regions);
    const double rate = account->quota.IsUnlimited()
                            ? mean
                            : account->quota.requests_per_second;
    fractions[std::move(regions)] += rate / all;
  }
  std::vector<BoundDemand> demands;
  demands.reserve(fractions.size());
  for (const auto& [regions, fraction] : fractions) {
    demands.push_back({.regions = regions, .fraction = fraction});
  }
  return demands;
}

RegionSlots FreeSlots(const RegionSlots& slots,
                      std::span<const BoundDemand> demands) {
  const double total = Sum(slots);
  RegionSlots free = slots;
  for (const BoundDemand& demand : demands) {
    const double usable = SlotsIn(slots, demand.regions);
    if (usable <= 0) {
      continue;
    }
    const double needed = demand.fraction * total;
    for (const RegionName& region : demand.regions) {
      const auto found = free.find(region);
      if (found != free.end()) {
        const double part = slots.at(region) / usable;
        found->second = std::max(0.0, found->second - needed * part);
      }
    }
  }
  return Sum(free) > 0 ? free : slots;
}

}  // namespace medlarcroft::request_path
