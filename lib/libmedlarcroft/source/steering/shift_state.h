#ifndef MEDLARCROFT_STEERING_SHIFT_STATE_H_
#define MEDLARCROFT_STEERING_SHIFT_STATE_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "medlarcroft/steering/growth_limit.h"
#include "medlarcroft/steering/shift_planner.h"

namespace medlarcroft::steering {

/// @brief State of one service's shift between two domains, kept between
/// planning steps.
struct ShiftState {
  GrowthLimit growth;
  std::optional<MonotonicTime> home_cheaper_since;
};

/// @brief The highest inflow of the last seconds. A receiver's own report of
/// its inflow lags; without this peak, an inflow that was just cut would look
/// like another sender's and be cut a second time.
struct RecentPeak {
  double value = 0.0;
  MonotonicTime seen_at;

  void Observe(double current, MonotonicTime now, Duration hold_time) {
    if (current >= value || now - seen_at > hold_time) {
      value = current;
      seen_at = now;
    }
  }
};

/// @brief A domain's load for one service, averaged to suppress the noise of
/// single samples: with 14 slots, the number of busy ones varies by a third of
/// itself from one sample to the next.
struct SmoothedLoad {
  ServiceLoad load;
  /// Averaged over a longer time, because a wrong service time shifts more load
  /// than a late one.
  double slow_outstanding = 0.0;
  double slow_served = 0.0;
  std::optional<MonotonicTime> updated_at;
};

/// @brief State of one service in one domain, kept between planning steps.
struct PoolState {
  WarmUp warm_up;
  RecentPeak inflow_peak;
  SmoothedLoad smoothed;
  MonotonicTime last_return;  // Of any shift of which it is the source.
};

/// @brief The callers of a drained domain that have moved to others.
struct CallerMoveState {
  std::vector<std::pair<FailureDomainName, double>> fractions;
  std::optional<MonotonicTime> drain_ended;
};

/// @brief State of one service kept between planning steps, by the indices of
/// the domains.
struct ServiceState {
  std::vector<ShiftState> shifts;  // from * domains + to
  std::vector<PoolState> pools;
  std::vector<CallerMoveState> moves;
};

/// With 17 domains and 60 services, a planning step visits 17,000 shifts.
/// Finding them by name would take most of the step's time, so they are stored
/// by index.
struct ShiftPlanner::State {
  std::vector<FailureDomainName> domains;
  std::vector<GrowthLimit> links;  // from * domains + to
  std::map<ServiceName, ServiceState> services;

  /// @brief Resizes the state to the catalogue's domains and services; keeps
  /// the state of those that remain and drops the rest.
  void SyncWithCatalogue(const catalogue::CatalogueView& catalogue);
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_SHIFT_STATE_H_
