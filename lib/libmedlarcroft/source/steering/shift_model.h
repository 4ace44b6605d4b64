#ifndef MEDLARCROFT_STEERING_SHIFT_MODEL_H_
#define MEDLARCROFT_STEERING_SHIFT_MODEL_H_

#include <cstddef>
#include <vector>

#include "medlarcroft/steering/placement_cost.h"
#include "medlarcroft/steering/shift_planner.h"
#include "shift_state.h"

namespace medlarcroft::steering {

/// Rates below this, in requests per second, are not worth shifting.
inline constexpr double kNegligibleRate = 0.01;

/// @brief One failure domain in this planning step.
struct DomainModel {
  const catalogue::FailureDomainEntry* entry = nullptr;
  const DomainLoad* load = nullptr;  // nullptr: never reported.
  bool is_drained = false;
  /// 1 while its measurements are fresh, falling to 0 when they are stale.
  double confidence = 0.0;
};

/// @brief One direction between two domains in this planning step.
struct LinkModel {
  const catalogue::LinkEntry* entry = nullptr;  // nullptr: no link.
  GrowthLimit* growth = nullptr;
  double rate = 0.0;     // Over all services.
  double ceiling = 0.0;  // Highest rate that `growth` allows now.
};

/// @brief One service in one domain in this planning step.
struct PoolModel {
  ServerPool servers;
  PoolState* state = nullptr;
  bool is_measured = false;   // Measurements are fresh enough to act on.
  bool is_congested = false;  // It queues or refuses requests.
  double demand = 0.0;        // Measured demand of its own callers.
  /// Demand to expect as a receiver: the higher of the measured demand and that
  /// of look-up answers, plus inflow from senders outside this plan.
  double committed_demand = 0.0;
  double spare = 0.0;  // Offered to all senders together.
  ShiftBound spare_bound = ShiftBound::kReceiverHeadroom;
  double inflow = 0.0;
  double outflow = 0.0;
};

/// @brief One service's shift between two domains in this planning step.
struct ShiftModel {
  ShiftState* state = nullptr;
  double rate = 0.0;
  ShiftRule rule = ShiftRule::kHold;
  ShiftBound bound = ShiftBound::kNone;
};

/// @brief How much a shift may still grow, and the limit that applies.
struct AllowedGrowth {
  double rate = 0.0;
  ShiftBound bound = ShiftBound::kNone;
};

/// @brief Domains and links by index; shared by all services of a step.
struct Topology {
  std::vector<DomainModel> domains;
  std::vector<LinkModel> links;  // from * Size() + to

  [[nodiscard]] std::size_t Size() const { return domains.size(); }
  [[nodiscard]] std::size_t PairIndex(std::size_t from, std::size_t to) const {
    return from * domains.size() + to;
  }
};

/// @brief One service in one planning step; domains are indices.
class ServiceModel {
 public:
  /// @param position index of the service in the catalogue's order.
  ServiceModel(const catalogue::ServiceEntry& service,
               std::size_t position,
               ServiceState& state,
               Topology& topology,
               const ShiftPlannerOptions& options,
               MonotonicTime now);

  [[nodiscard]] const catalogue::ServiceEntry& Service() const {
    return *service_;
  }
  [[nodiscard]] std::size_t Position() const { return position_; }
  [[nodiscard]] ServiceState& State() { return *state_; }
  [[nodiscard]] std::size_t Size() const { return topology_->Size(); }
  [[nodiscard]] std::size_t PairIndex(std::size_t from, std::size_t to) const {
    return topology_->PairIndex(from, to);
  }
  PoolModel& Pool(std::size_t domain) { return pools_[domain]; }
  ShiftModel& Shift(std::size_t from, std::size_t to) {
    return shifts_[topology_->PairIndex(from, to)];
  }
  [[nodiscard]] const LinkModel& Link(std::size_t from, std::size_t to) const {
    return topology_->links[topology_->PairIndex(from, to)];
  }
  [[nodiscard]] const DomainModel& Domain(std::size_t domain) const {
    return topology_->domains[domain];
  }

  /// @brief Changes a shift's rate and all sums that include it.
  void ChangeRate(std::size_t from, std::size_t to, double change);

  /// @return the step by which rates are changed, in requests per second.
  [[nodiscard]] double RateStep() const { return rate_step_; }
  void SetRateStep(double rate_step) { rate_step_ = rate_step; }

  /// @return the cost that a request pays at home, with `extra` more requests
  /// per second.
  [[nodiscard]] double HomeCost(std::size_t domain, double extra) const;
  /// @return the cost that a forwarded request pays at a receiver, without the
  /// link, with `extra` more requests per second.
  [[nodiscard]] double ReceiverCost(std::size_t domain, double extra) const;
  /// @return whether `rate` more requests per second at home would leave its
  /// reserve free, judged by its busy slots. Rates are not enough: the plan
  /// does not know how many forwarded requests a receiver's small pool refuses
  /// by chance, and a home that returning work fills completely would refuse
  /// callers and shift again.
  [[nodiscard]] bool HasCapacityToReturn(std::size_t domain, double rate) const;
  /// @return the cost of the link's round trip.
  [[nodiscard]] double LinkCost(std::size_t from, std::size_t to) const;
  [[nodiscard]] AllowedGrowth FindAllowedGrowth(std::size_t from,
                                                std::size_t to) const;
  /// @return why nothing at all may be shifted, or kNone.
  [[nodiscard]] ShiftBound FindBlockingBound(std::size_t from,
                                             std::size_t to) const;

 private:
  [[nodiscard]] double DrainStepFraction() const;

  const catalogue::ServiceEntry* service_;
  std::size_t position_;
  ServiceState* state_;
  Topology* topology_;
  const ShiftPlannerOptions* options_;
  MonotonicTime now_;
  PlacementCost cost_;
  double rate_step_ = 0.0;
  std::vector<PoolModel> pools_;
  std::vector<ShiftModel> shifts_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_MODEL_H_
