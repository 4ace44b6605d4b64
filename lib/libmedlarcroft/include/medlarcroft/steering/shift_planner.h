#ifndef MEDLARCROFT_STEERING_SHIFT_PLANNER_H_
#define MEDLARCROFT_STEERING_SHIFT_PLANNER_H_

#include <memory>
#include <span>

#include "medlarcroft/catalogue/catalogue_view.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/steering/domain_load.h"
#include "medlarcroft/steering/shift_plan.h"
#include "medlarcroft/steering/warm_up.h"

namespace medlarcroft::steering {

/// @brief Parameters of the shift planner.
struct ShiftPlannerOptions {
  /// A shift grows only if forwarding is cheaper than staying home by more than
  /// this. Costs are normalised: 0.05 is a twentieth of a pool's utilisation if
  /// only headroom counts. Smaller differences are measurement noise.
  double growth_margin = 0.05;
  /// Home must have been cheaper for this long before a shift is returned:
  /// twice the sum of three late heartbeats and the longest usual look-up TTL.
  Duration return_hold_time = std::chrono::seconds(30);
  /// Measurements count in full up to this age (a few exchanges).
  Duration fresh_age = std::chrono::seconds(3);
  /// A receiver offers nothing from this age on; in between, its offer falls
  /// linearly.
  Duration stale_age = std::chrono::seconds(12);
  /// Fraction of the link's step per window that a drain uses if drain time has
  /// a small weight; with the largest weight it uses the whole step.
  double min_drain_step_fraction = 0.25;
  /// Time over which the callers of a domain return after its drain.
  Duration caller_return_time = std::chrono::seconds(60);
  WarmUpOptions warm_up;
};

/// @brief Inputs of one planning step.
struct ShiftInputs {
  const catalogue::CatalogueView* catalogue = nullptr;
  std::span<const DomainLoad> domains;
  std::span<const PendingDemand> pending;
};

/// @brief Decides how much of each failure domain's demand is forwarded to
/// which other one, for all services.
///
/// Handles domains whose demand exceeds their slots, drains, and the return of
/// shifted demand; runs every half second on measurements that are seconds old.
/// It prevents two failures. The first is a receiver taken over its capacity:
/// what a receiver offers to all senders together is its spare capacity, less
/// its reserved headroom and the demand that look-up answers will still bring,
/// reduced by the age of its measurements and while its caches are cold. A
/// planner that counted only what it measures would offer the same spare slots
/// again at each step. The second is oscillation: a source's demand is
/// measured before forwarding, so a shift does not change the figure that it
/// was decided by; growth needs a margin; and a return needs home to have been
/// cheaper for a hold time, and proceeds in steps. Not thread-safe.
class ShiftPlanner {
 public:
  explicit ShiftPlanner(const ports::Clock& clock,
                        ShiftPlannerOptions options = {});
  ~ShiftPlanner();
  ShiftPlanner(const ShiftPlanner&) = delete;
  ShiftPlanner& operator=(const ShiftPlanner&) = delete;

  /// @brief Computes one planning step.
  [[nodiscard]] ShiftPlan Plan(const ShiftInputs& inputs);

  struct State;  ///< Kept between steps; defined in the source files.

 private:
  const ports::Clock* clock_;
  ShiftPlannerOptions options_;
  std::unique_ptr<State> state_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_PLANNER_H_
