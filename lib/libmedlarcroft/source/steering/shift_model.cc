#include "shift_model.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

/// Fraction of a receiver's offer that growth may use. A cut begins only above
/// the whole offer; otherwise measurement noise would cut and regrow the same
/// shift.
constexpr double kGrowthFractionOfSpare = 0.85;
/// Cost of staying in a drained domain: above any real cost.
constexpr double kDrainedCost = 1e9;

/// A domain's queue limit is the delay at which it refuses callers, so it is
/// the natural unit of delay for the request class.
Duration DelayScale(const catalogue::RequestClass& request_class) {
  return std::max(request_class.queue_limit,
                  Duration(std::chrono::milliseconds(1)));
}

}  // namespace

ServiceModel::ServiceModel(const catalogue::ServiceEntry& service,
                           std::size_t position,
                           ServiceState& state,
                           Topology& topology,
                           const ShiftPlannerOptions& options,
                           MonotonicTime now)
    : service_(&service),
      position_(position),
      state_(&state),
      topology_(&topology),
      options_(&options),
      now_(now),
      cost_(service.weights, DelayScale(service.request_class)),
      pools_(topology.Size()),
      shifts_(topology.Size() * topology.Size()) {}

void ServiceModel::ChangeRate(std::size_t from, std::size_t to, double change) {
  Shift(from, to).rate += change;
  pools_[from].outflow += change;
  pools_[to].inflow += change;
  topology_->links[topology_->PairIndex(from, to)].rate += change;
}

double ServiceModel::HomeCost(std::size_t domain, double extra) const {
  const PoolModel& pool = pools_[domain];
  if (Domain(domain).is_drained) {
    return kDrainedCost;
  }

  return cost_.ServingCost(pool.servers,
                           pool.demand + pool.inflow - pool.outflow + extra);
}

double ServiceModel::ReceiverCost(std::size_t domain, double extra) const {
  const PoolModel& pool = pools_[domain];
  return cost_.ServingCost(
      pool.servers, pool.committed_demand + pool.inflow - pool.outflow + extra);
}

bool ServiceModel::HasCapacityToReturn(std::size_t domain, double rate) const {
  const PoolModel& pool = pools_[domain];
  const double headroom = std::clamp(service_->reserved_headroom, 0.0, 1.0);
  const double busy = pool.state->smoothed.load.outstanding +
                      rate * ToSeconds(pool.servers.service_time);
  return busy <= pool.servers.slots * (1.0 - headroom);
}

double ServiceModel::LinkCost(std::size_t from, std::size_t to) const {
  return cost_.DelayCost(2 * Link(from, to).entry->latency);
}

ShiftBound ServiceModel::FindBlockingBound(std::size_t from,
                                           std::size_t to) const {
  const LinkModel& link = Link(from, to);
  if (link.entry == nullptr) {
    return ShiftBound::kLinkMissing;
  }

  const PoolModel& receiver = pools_[to];
  const Duration response_time =
      2 * link.entry->latency + receiver.servers.service_time;
  if (response_time > service_->request_class.deadline) {
    return ShiftBound::kLinkTooSlow;
  }

  const DomainModel& domain = Domain(to);
  const bool is_usable = !domain.is_drained && domain.load != nullptr &&
                         domain.load->live_hosts > 0 &&
                         receiver.servers.slots > 0.0;
  return is_usable ? ShiftBound::kNone : ShiftBound::kReceiverUnusable;
}

double ServiceModel::DrainStepFraction() const {
  const catalogue::ObjectiveWeights& weights = service_->weights;
  const double largest =
      std::max({weights.latency, weights.headroom, weights.drain_time});
  const double relative =
      largest > 0.0 ? std::max(weights.drain_time, 0.0) / largest : 1.0;
  return std::max(relative, options_->min_drain_step_fraction);
}

AllowedGrowth ServiceModel::FindAllowedGrowth(std::size_t from,
                                              std::size_t to) const {
  const PoolModel& source = pools_[from];
  const PoolModel& receiver = pools_[to];

  if (const ShiftBound blocking_bound = FindBlockingBound(from, to);
      blocking_bound != ShiftBound::kNone) {
    return {0.0, blocking_bound};
  }

  if (!source.is_measured) {
    return {0.0, ShiftBound::kSourceUnknown};
  }

  if (receiver.is_congested) {
    return {0.0, ShiftBound::kReceiverCongested};
  }

  // A domain that sends and receives at the same time would pass work on: two
  // links are used and two caches warmed where one of each would do.
  if (receiver.outflow > kNegligibleRate || source.inflow > kNegligibleRate) {
    return {0.0, ShiftBound::kReceiverUnusable};
  }

  const LinkModel& link = Link(from, to);
  const ShiftModel& shift = shifts_[topology_->PairIndex(from, to)];
  const double step_fraction =
      Domain(from).is_drained ? DrainStepFraction() : 1.0;
  const double pair_ceiling = shift.state->growth.Ceiling(
      now_, link.entry->shift_step * step_fraction, link.entry->shift_window);

  const AllowedGrowth limits[] = {
      {link.entry->capacity - link.rate, ShiftBound::kLinkCapacity},
      {link.ceiling - link.rate, ShiftBound::kShiftStep},
      {pair_ceiling - shift.rate, ShiftBound::kShiftStep},
      {receiver.spare * kGrowthFractionOfSpare - receiver.inflow,
       receiver.spare_bound},
      {source.demand - source.outflow, ShiftBound::kSourceDemand}};
  const AllowedGrowth tightest = *std::min_element(
      std::begin(limits), std::end(limits),
      [](const AllowedGrowth& left, const AllowedGrowth& right) {
        return left.rate < right.rate;
      });
  return {std::max(tightest.rate, 0.0), tightest.bound};
}

}  // namespace medlarcroft::steering
