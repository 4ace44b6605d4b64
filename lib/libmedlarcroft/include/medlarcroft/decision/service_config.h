#ifndef MEDLARCROFT_DECISION_SERVICE_CONFIG_H_
#define MEDLARCROFT_DECISION_SERVICE_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief One target as this host may use it.
struct TargetConfig {
  TargetName name;
  std::uint32_t slots = 1;  ///< Requests it works on at once, from all hosts.
  std::uint32_t share = 1;  ///< Slots of it that this host may use.
  std::uint32_t max_connections = 330;
  bool is_leaving = false;
  /// The share ends here on this host's clock; checked again at each dispatch,
  /// as the host may have been paused. Absent: no lease is needed.
  std::optional<MonotonicTime> share_lease_until;
};

/// @brief A service's limits, brands and targets in one routing snapshot.
struct ServiceConfig {
  ServiceName service;
  catalogue::RequestClass request_class;
  std::vector<catalogue::BrandShare> brands;
  std::vector<TargetConfig> targets;
  /// Part of the usable slots that shifted-in work leaves free, 0 to 1.
  double reserved_headroom = 0.2;
};

/// @brief How a target is chosen; all but the first are kept for comparison.
enum class PlacementKind {
  kPowerOfTwoChoices,
  kOptimisticPowerOfTwoChoices,
  kRandom,
  kRoundRobin,
  kLeastReportedLoad,
};

/// @brief Which requests are refused on arrival.
enum class QueueBound {
  kTime,       ///< By predicted wait and deadline.
  kUnbounded,  ///< None; kept for comparison.
};

/// @brief Fixed for the life of a scheduler. The defaults are those weighed in
/// docs/decisions.
struct SchedulerOptions {
  PlacementKind placement = PlacementKind::kPowerOfTwoChoices;
  QueueBound queue_bound = QueueBound::kTime;
  bool is_fair_between_brands = true;
  bool is_hedging_enabled = true;
  bool is_ejection_enabled = true;
  /// Off: every refusal says one second; kept for comparison.
  bool is_retry_after_paced = true;
  /// A target that appears in a running service gets its share in this time.
  Duration cold_ramp = std::chrono::seconds(10);
  /// Retries and hedges per success, and how many of them a service with
  /// little demand may save up.
  double retry_ratio = 0.1;
  double retry_burst = 10.0;
  std::uint32_t max_attempts = 3;
  /// Hedging stops above this part of the usable slots in use.
  double hedge_utilisation_limit = 0.7;
  /// Memory bound of one service's queue.
  std::size_t max_queued = 10'000;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_SERVICE_CONFIG_H_
