#ifndef MEDLARCROFT_DECISION_SERVICE_CONFIG_H_
#define MEDLARCROFT_DECISION_SERVICE_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/catalogue/entry.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/retries/retry_budget.h"

namespace medlarcroft::decision {

/// @brief One target and the limits within which this host may use it.
struct TargetConfig {
  TargetName name;
  std::uint32_t slots = 1;  ///< Concurrent requests from all hosts.
  std::uint32_t share = 1;  ///< Slots that this host may use.
  std::uint32_t max_connections = 330;
  bool is_leaving = false;
  /// When the lease on the share expires, on this host's clock. Checked at each
  /// dispatch, because the host may have been paused. Absent if no lease is
  /// needed.
  std::optional<MonotonicTime> share_lease_until;
};

/// @brief A service's limits, brands and targets in one routing snapshot.
struct ServiceConfig {
  ServiceName service;
  catalogue::RequestClass request_class;
  std::vector<catalogue::BrandShare> brands;
  std::vector<TargetConfig> targets;
  /// Fraction of the usable slots, 0 to 1, that requests shifted in from other
  /// failure domains must leave free.
  double reserved_headroom = 0.2;
};

/// @brief How a target is chosen. All kinds but the first are baselines for
/// comparison.
enum class PlacementKind {
  kPowerOfTwoChoices,
  kOptimisticPowerOfTwoChoices,
  kRandom,
  kRoundRobin,
  kLeastReportedLoad,
};

/// @brief The limit beyond which arriving requests are refused.
enum class QueueBound {
  kTime,       ///< Limit by predicted wait and deadline.
  kUnbounded,  ///< No limit; a baseline for comparison.
};

/// @brief Options that stay fixed for the lifetime of a scheduler. The reasons
/// for the defaults are in docs/decisions.
struct SchedulerOptions {
  PlacementKind placement = PlacementKind::kPowerOfTwoChoices;
  QueueBound queue_bound = QueueBound::kTime;
  bool is_fair_between_brands = true;
  bool is_hedging_enabled = true;
  bool is_ejection_enabled = true;
  /// If false, every refusal has a Retry-After of one second; a baseline for
  /// comparison.
  bool is_retry_after_paced = true;
  /// Time over which a target that joins a running service ramps up to its full
  /// share.
  Duration cold_ramp = std::chrono::seconds(10);
  /// Retries and hedges of this host, per successful request. They stop with
  /// the successes, but for the fixed amount, which lets a service with little
  /// demand retry.
  retries::RetryBudget::Options retries{
      .limit = {.ratio = 0.1, .fixed = 10, .window = std::chrono::seconds(10)},
      .usable_fraction = 1.0,
      .saved_for = std::chrono::seconds(1)};
  std::uint32_t max_attempts = 3;
  /// Requests are hedged only while the fraction of usable slots in use is
  /// below this.
  double hedge_utilisation_limit = 0.7;
  /// Maximum length of one service's queue, to bound its memory.
  std::size_t max_queued = 10'000;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_SERVICE_CONFIG_H_
