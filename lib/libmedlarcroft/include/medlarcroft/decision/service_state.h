#ifndef MEDLARCROFT_DECISION_SERVICE_STATE_H_
#define MEDLARCROFT_DECISION_SERVICE_STATE_H_

#include <cstdint>

#include "medlarcroft/admission/retry_after_pacer.h"
#include "medlarcroft/core/rate_meter.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/fair_queue.h"
#include "medlarcroft/decision/latency_estimate.h"
#include "medlarcroft/decision/service_config.h"
#include "medlarcroft/retries/retry_budget.h"

namespace medlarcroft::decision {

/// Window of the rates. Long enough for a steady value at ten requests per
/// second, and short enough for peers to learn of a burst while it is still
/// going on.
inline constexpr Duration kRateWindow = std::chrono::seconds(5);

/// @brief One service's queue, measurements and budgets, which are kept when
/// its configuration changes.
struct ServiceState {
  ServiceState(const ServiceConfig& service_config,
               const SchedulerOptions& options);

  /// Records how long a target worked on a request.
  void OnServiceTime(Duration elapsed, std::size_t target_count);
  /// @return `elapsed` relative to the recent mean; 1 until there are enough
  /// measurements.
  [[nodiscard]] double RelativeServiceTime(Duration elapsed) const;

  ServiceConfig config;
  bool is_configured = true;
  FairQueue queue;
  LatencyEstimate latency;
  retries::RetryBudget budget;
  admission::RetryAfterPacer pacer;
  RateMeter demand{kRateWindow};
  RateMeter refused{kRateWindow};
  RateMeter shifted_in{kRateWindow};
  std::uint32_t outstanding = 0;
  /// Slot time used by the service, as virtual time for fair scheduling between
  /// services that share targets.
  double start_tag = 0;

 private:
  // Averaged over as many answers per target as the averages of the targets
  // themselves, so that no target looks like an outlier when all of them become
  // slower at the same time.
  double recent_mean_seconds_ = 0;
  std::uint64_t sample_count_ = 0;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_SERVICE_STATE_H_
