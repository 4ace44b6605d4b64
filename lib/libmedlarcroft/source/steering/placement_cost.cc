#include "medlarcroft/steering/placement_cost.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::steering {

namespace {

constexpr double kTangentUtilisation = 0.98;
/// Above this utilisation, random variation alone builds queues that reach the
/// queue limit.
constexpr double kOverloadUtilisation = 0.95;
/// A pool that refuses a tenth of its requests must cost more than any link
/// whose answer still arrives within the deadline.
constexpr double kOverloadPenalty = 10.0;
/// Cost of a pool without slots; finite, so that differences stay defined.
constexpr double kNoSlotsCost = 1e6;

double WaitBelowTangent(const ServerPool& pool, double utilisation) {
  const double exponent = std::sqrt(2.0 * (pool.slots + 1.0)) - 1.0;
  return ToSeconds(pool.service_time) * std::pow(utilisation, exponent) /
         (pool.slots * (1.0 - utilisation));
}

}  // namespace

double ServerPool::Capacity() const {
  const double seconds = ToSeconds(service_time);
  return seconds > 0.0 ? slots / seconds : 0.0;
}

double ExpectedWait(const ServerPool& pool, double utilisation) {
  if (utilisation <= 0.0) {
    return 0.0;
  }

  if (utilisation <= kTangentUtilisation) {
    return WaitBelowTangent(pool, utilisation);
  }

  const double at_tangent = WaitBelowTangent(pool, kTangentUtilisation);
  const double slope = at_tangent / (1.0 - kTangentUtilisation);
  return at_tangent + (utilisation - kTangentUtilisation) * slope;
}

PlacementCost::PlacementCost(const catalogue::ObjectiveWeights& weights,
                             Duration delay_scale)
    : latency_weight_(std::max(weights.latency, 0.0)),
      headroom_weight_(std::max(weights.headroom, 0.0)),
      delay_scale_(ToSeconds(delay_scale)) {
  const double sum = latency_weight_ + headroom_weight_;

  if (sum <= 0.0) {
    latency_weight_ = 0.5;
    headroom_weight_ = 0.5;
    return;
  }

  latency_weight_ /= sum;
  headroom_weight_ /= sum;
}

double PlacementCost::ServingCost(const ServerPool& pool, double load) const {
  const double capacity = pool.Capacity();
  if (capacity <= 0.0) {
    return kNoSlotsCost;
  }

  const double utilisation = std::max(load, 0.0) / capacity;
  const double backlog = pool.queued / capacity;
  const double delay = ExpectedWait(pool, utilisation) + backlog;
  const double overload =
      std::max(utilisation - kOverloadUtilisation, 0.0) + pool.refused_fraction;
  return latency_weight_ * delay / delay_scale_ +
         headroom_weight_ * utilisation + kOverloadPenalty * overload;
}

double PlacementCost::DelayCost(Duration delay) const {
  return latency_weight_ * ToSeconds(delay) / delay_scale_;
}

}  // namespace medlarcroft::steering
