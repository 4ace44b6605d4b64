#ifndef MEDLARCROFT_STEERING_PLACEMENT_COST_H_
#define MEDLARCROFT_STEERING_PLACEMENT_COST_H_

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::steering {

/// @brief Slots and service time of one service in one failure domain.
struct ServerPool {
  double slots = 0.0;
  Duration service_time = Duration::zero();
  double queued = 0.0;            ///< Requests waiting for a slot.
  double refused_fraction = 0.0;  ///< Of its callers' requests, 0 to 1.

  /// @return requests per second when every slot is busy.
  [[nodiscard]] double Capacity() const;
};

/// @brief Cost of serving a request at a given place, as one number that
/// depends on the service owner's weights.
///
/// Latency counts as delay divided by `delay_scale`, headroom as utilisation;
/// both are weighted and divided by the sum of the two weights. With equal
/// weights, a delay of one `delay_scale` therefore costs as much as the
/// difference between an idle pool and a full one. Demand near or above
/// capacity, and refusals, add a penalty that does not depend on the weights:
/// to be refused at home is worse than to be served late.
class PlacementCost {
 public:
  /// @param delay_scale the delay that costs 1, above zero.
  PlacementCost(const catalogue::ObjectiveWeights& weights,
                Duration delay_scale);

  /// @return the cost of being served by `pool` at `load` requests per second.
  [[nodiscard]] double ServingCost(const ServerPool& pool, double load) const;
  /// @return the cost of a delay alone.
  [[nodiscard]] double DelayCost(Duration delay) const;

 private:
  double latency_weight_;
  double headroom_weight_;
  double delay_scale_;  // Seconds.
};

/// @return the expected wait for a slot, in seconds, at a utilisation, by
/// Sakasegawa's approximation for multi-server queues (1977). Above a
/// utilisation of 0.98 it continues along the tangent, because the formula has
/// a pole at 1.
[[nodiscard]] double ExpectedWait(const ServerPool& pool, double utilisation);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_PLACEMENT_COST_H_
