// RequestPath: chooses the region and the target of a request.
#include <algorithm>
#include <optional>
#include <span>
#include <vector>

#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

namespace {

// Each time costs one pass over all targets of the service.
constexpr Duration kBalancingPeriod = std::chrono::milliseconds(200);

}  // namespace

std::optional<Placement> RequestPath::Place(const Request& request,
                                            std::span<const RegionName> regions,
                                            MonotonicTime now) {
  std::vector<TargetIdentity> excluded;
  for (const Attempt& attempt : request.attempts) {
    excluded.push_back(attempt.target);
  }
  return ChooseTarget(targets_.Usable(request.service),
                      {.object = request.object,
                       .is_sticky = request.route->is_sticky,
                       .times = TimesOf(request),
                       .mean_work = ServiceTimesOf(request).MeanWork(),
                       .distances = distances_,
                       .loads = loads_[request.service],
                       .cold_send_limit = ColdSendLimit(request.service, now),
                       .limits = &limits_,
                       .excluded = excluded,
                       .allowed_regions = regions,
                       .options = options_.placement},
                      now,
                      options_.rule == nullptr ? lowest_cost_ : *options_.rule);
}

Duration RequestPath::MaxQueueWait(const Request& request) const {
  return FromSeconds(options_.max_queue_wait *
                     ToSeconds(request.route->latency_objective));
}

std::span<const BoundDemand> RequestPath::BoundDemands() {
  if (bound_demands_version_ != routes_.Version()) {
    bound_demands_version_ = routes_.Version();
    bound_demands_ = BoundDemandsOf(routes_.Accounts().Accounts());
  }
  return bound_demands_;
}

RegionSlots RequestPath::SlotsOf(const ServiceName& service,
                                 MonotonicTime now) {
  RegionSlots slots;
  for (const RegionTargets& region : targets_.Usable(service)) {
    double& usable = slots[region.region];
    usable = region.slots;
    if (targets_.RestingCount() == 0) {
      continue;
    }
    for (const TargetState* const target : region.targets) {
      usable -= target->IsResting(now) ? target->Record().slots : 0;
    }
  }
  return slots;
}

RegionUtilization RequestPath::UtilizationOf(const ServiceName& service,
                                             MonotonicTime now) {
  const RegionLoad& loads = loads_[service];
  RegionUtilization utilization;
  for (const RegionTargets& region : targets_.Usable(service)) {
    if (!loads.IsRecent(region.region, now)) {
      continue;
    }
    const std::optional<double> mean = loads.MeanOf(region.region);
    double requests = 0;
    double slots = 0;
    for (const TargetState* const target : region.targets) {
      // A resting target has few requests, but takes none either.
      if (!target->IsResting(now)) {
        requests += target->EstimatedLoad(
            mean, options_.placement.region_load_weight, now);
        slots += target->Record().slots;
      }
    }
    if (slots > 0) {
      utilization[region.region] = requests / slots;
    }
  }
  return utilization;
}

void RequestPath::BalanceRegions(const ServiceName& service,
                                 RegionPlan& plan,
                                 MonotonicTime now) {
  const auto [balanced_at, is_new] = balanced_at_.try_emplace(service, now);
  if (is_new || now - balanced_at->second < kBalancingPeriod) {
    return;
  }
  balanced_at->second = now;
  const auto regions = static_cast<double>(targets_.Usable(service).size());
  const double requests_per_second =
      arrivals_.PerSecond(now) * share_.hosts / std::max(regions, 1.0);
  plan.Balance(UtilizationOf(service, now), requests_per_second, now);
}

std::size_t RequestPath::BalancedServices() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      plans_, [](const auto& plan) { return plan.second.IsBalancing(); }));
}

std::optional<Placement> RequestPath::PlaceByRegionPlan(const Request& request,
                                                        MonotonicTime now) {
  const auto& allowed = request.allowed_regions;
  if (!allowed.empty() || !options_.uses_region_plan) {
    return Place(request, allowed, now);
  }
  if (targets_.Usable(request.service).empty()) {
    return std::nullopt;
  }
  RegionPlan& plan = plans_
                         .try_emplace(request.service, options_.own_region,
                                      options_.region_plan)
                         .first->second;
  const RegionSlots slots = SlotsOf(request.service, now);
  plan.Advance(slots, FreeSlots(slots, BoundDemands()), now);
  BalanceRegions(request.service, plan, now);
  const std::uint64_t key =
      request.object.IsEmpty() ? random_.Next() : request.object.Value();
  const RegionName region = plan.Choose(key);
  const std::optional<Placement> planned =
      Place(request, std::span(&region, 1), now);
  const Duration max_queue_wait = MaxQueueWait(request);
  if (planned && planned->expected_wait <= max_queue_wait) {
    plan.Observe(region, std::nullopt);
    return planned;
  }
  const std::optional<Placement> best = Place(request, {}, now);
  std::optional<RegionName> region_with_capacity;
  if (best && best->expected_wait <= max_queue_wait) {
    region_with_capacity = best->target->Region();
  }
  plan.Observe(region, region_with_capacity);
  return planned ? planned : best;
}

ServiceTimes& RequestPath::ServiceTimesOf(const Request& request) {
  return times_.try_emplace(request.service, request.route->latency_objective)
      .first->second;
}

const ServiceTimes& RequestPath::TimesOf(const Request& request) {
  const auto found = route_times_.find({request.service, request.route->name});
  return found == route_times_.end() ? ServiceTimesOf(request) : found->second;
}

void RequestPath::RecordWork(const Request& request,
                             bool was_warm,
                             Duration work) {
  ServiceTimes& of_service = ServiceTimesOf(request);
  route_times_.try_emplace({request.service, request.route->name}, of_service)
      .first->second.OnWork(was_warm, work);
  of_service.OnWork(was_warm, work);
}

std::uint32_t RequestPath::ColdSendLimit(const ServiceName& service,
                                         MonotonicTime now) const {
  const routing::ServiceRules* const rules = routes_.FindService(service);
  if (rules == nullptr) {
    return 1;
  }
  const double total_rate =
      rules->cold_requests_per_second * options_.cold_over +
      options_.cold_extra;
  return static_cast<std::uint32_t>(total_rate * share_.Of(kColdWindow, now));
}

}  // namespace medlarcroft::request_path
