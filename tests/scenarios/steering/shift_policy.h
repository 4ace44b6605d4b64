#ifndef MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_POLICY_H_
#define MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_POLICY_H_

#include <functional>
#include <memory>

#include "medlarcroft/ports/clock.h"
#include "medlarcroft/steering/shift_planner.h"

namespace medlarcroft::steering::scenario {

/// @brief Decides the shifts of one failure domain: the planner, or an
/// alternative that it is compared with.
class ShiftPolicy {
 public:
  virtual ~ShiftPolicy() = default;
  virtual ShiftPlan Plan(const ShiftInputs& inputs,
                         const FailureDomainName& own_domain) = 0;
};

using PolicyFactory =
    std::function<std::unique_ptr<ShiftPolicy>(const ports::Clock&)>;

class PlannerPolicy final : public ShiftPolicy {
 public:
  explicit PlannerPolicy(const ports::Clock& clock,
                         ShiftPlannerOptions options = {})
      : planner_(clock, options) {}

  ShiftPlan Plan(const ShiftInputs& inputs,
                 const FailureDomainName& /*own_domain*/) override {
    return planner_.Plan(inputs);
  }

 private:
  ShiftPlanner planner_;
};

}  // namespace medlarcroft::steering::scenario

#endif  // MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_POLICY_H_
