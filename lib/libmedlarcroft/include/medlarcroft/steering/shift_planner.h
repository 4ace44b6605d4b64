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

/// @brief Constants of the shift planner.
struct ShiftPlannerOptions {
  /// A shift grows only if away is cheaper by more than this. Costs are
  /// normalised: 0.05 is a twentieth of a pool's utilisation when headroom
  /// alone counts. Smaller differences are noise of the measurements.
  double growth_margin = 0.05;
  /// Home must have been cheaper for so long before a shift is taken back.
  /// Three heartbeats late plus the longest usual look-up TTL, twice over.
  Duration return_hold_time = std::chrono::seconds(30);
  /// A summary is taken at its word up to this age (a few exchanges) …
  Duration fresh_age = std::chrono::seconds(3);
  /// … and offers nothing from this age on; in between, in proportion.
  Duration stale_age = std::chrono::seconds(12);
  /// A drain with a small weight for drain time takes this part of the link's
  /// step in a window; with the largest weight it takes all of it.
  double slowest_drain_pace = 0.25;
  /// Over this time the callers of a domain go back after its drain.
  Duration move_return_time = std::chrono::seconds(60);
  WarmUpOptions warm_up;
};

/// @brief What one planning step looks at.
struct ShiftInputs {
  const catalogue::CatalogueView* catalogue = nullptr;
  std::span<const DomainLoad> domains;
  std::span<const PendingDemand> pending;
};

/// @brief Decides how much of each failure domain's demand is forwarded to
/// which other one, for all services.
///
/// Made for a domain whose demand outgrows its slots, for drains and for
/// returns, planned every half second from measurements that are seconds old.
/// Two harms are prevented. A receiver taken over its capacity: what it offers
/// to all senders together is its spare capacity less its reserved headroom,
/// less demand that answers already handed out will bring, shrunk by the age
/// of its measurements and while its caches are cold; a planner that counts
/// only what it measures would give the same spare slots away again at each
/// step. And swinging: a source's demand is taken before forwarding, so a
/// shift does not change the figure that it was decided by; growth needs a
/// margin, and a return needs home to be cheaper for a steady time, and comes
/// in steps. Not safe to share between threads.
class ShiftPlanner {
 public:
  explicit ShiftPlanner(const ports::Clock& clock,
                        ShiftPlannerOptions options = {});
  ~ShiftPlanner();
  ShiftPlanner(const ShiftPlanner&) = delete;
  ShiftPlanner& operator=(const ShiftPlanner&) = delete;

  /// @brief Takes one planning step.
  [[nodiscard]] ShiftPlan Plan(const ShiftInputs& inputs);

  struct State;  ///< What is kept between steps; defined with the source.

 private:
  const ports::Clock* clock_;
  ShiftPlannerOptions options_;
  std::unique_ptr<State> state_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_PLANNER_H_
