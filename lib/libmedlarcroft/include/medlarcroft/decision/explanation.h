#ifndef MEDLARCROFT_DECISION_EXPLANATION_H_
#define MEDLARCROFT_DECISION_EXPLANATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/service_load.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/request.h"

namespace medlarcroft::decision {

/// @brief What this host saw of one target.
struct TargetObservationReport {
  TargetName target;
  bool is_leaving = false;
  bool is_ejected = false;
  std::uint32_t outstanding = 0;
  /// Mean of recent answers; zero before the first.
  Duration latency{0};
};

/// @brief The rule that decides how much of a target is used now.
enum class TargetUsageRule {
  kFullShare,
  kRamping,       ///< Cold, back from ejection, or it shed work.
  kProbing,       ///< One request at a time after an ejection.
  kEjected,       ///< Slow or failing by this host's own measurements.
  kLeaving,       ///< Some source said that it leaves.
  kLeaseExpired,  ///< This host's share of it has ended.
  kNoShare,       ///< This host holds no slot of it.
};

/// @brief Inputs and rule for one target.
struct TargetExplanation {
  TargetName target;
  TargetUsageRule rule = TargetUsageRule::kFullShare;
  std::uint32_t slots = 0;
  std::uint32_t share = 0;
  std::uint32_t usable = 0;
  std::uint32_t outstanding = 0;
  double relative_latency = 1.0;  ///< To the service's mean.
  double failure_ratio = 0.0;
  double score = 0.0;  ///< Of two random choices the lower one is taken.
  std::optional<Duration> report_age;  ///< Absent: never reported.
};

/// @brief Inputs for one brand; the last one stands for all brands that the
/// catalogue does not name.
struct BrandExplanation {
  BrandName brand;
  double weight = 1.0;
  std::uint32_t queued = 0;
  Duration predicted_wait{0};
};

/// @brief What happens to a request of an idle brand that arrives now, which
/// rule decides it, and with which inputs and limits.
struct Explanation {
  ServiceName service;
  /// Absent: it is dispatched or queued.
  std::optional<RefusalReason> would_refuse;
  std::uint32_t usable_slots = 0;
  std::uint32_t outstanding = 0;
  std::uint32_t queued = 0;
  Duration service_time_mean{0};
  Duration service_time_p95{0};
  Duration predicted_wait{0};
  Duration wait_limit{0};
  double retry_tokens = 0;
  bool may_hedge_now = false;
  std::vector<TargetExplanation> targets;
  std::vector<BrandExplanation> brands;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_EXPLANATION_H_
