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

/// @brief What this host has observed of one target.
struct TargetObservationReport {
  TargetName target;
  bool is_leaving = false;
  bool is_ejected = false;
  std::uint32_t outstanding = 0;
  /// Mean latency of recent answers; zero before the first answer.
  Duration latency{0};
};

/// @brief The rule that limits how many slots of a target this host uses now.
enum class TargetUsageRule {
  kFullShare,
  kRamping,       ///< Cold start, return from ejection or recent shedding.
  kProbing,       ///< After an ejection: one request at a time.
  kEjected,       ///< Slow or failing, as measured by this host.
  kLeaving,       ///< Reported as leaving by any source.
  kLeaseExpired,  ///< The lease on this host's share has expired.
  kNoShare,       ///< This host holds none of its slots.
  kResting,       ///< It asked this host for rest.
};

/// @brief The rule that applies to one target, and its inputs.
struct TargetExplanation {
  TargetName target;
  TargetUsageRule rule = TargetUsageRule::kFullShare;
  std::uint32_t slots = 0;
  std::uint32_t share = 0;
  std::uint32_t usable = 0;
  std::uint32_t outstanding = 0;
  double relative_latency = 1.0;  ///< Relative to the service's mean.
  double failure_ratio = 0.0;
  double score = 0.0;  ///< Of two random candidates, the lower score wins.
  std::optional<Duration> report_age;  ///< Absent if never reported.
};

/// @brief Inputs for one brand; the last entry stands for all brands that are
/// not in the catalogue.
struct BrandExplanation {
  BrandName brand;
  double weight = 1.0;
  std::uint32_t queued = 0;
  Duration predicted_wait{0};
};

/// @brief The decision for a request of an idle brand that arrives now, with
/// the rule, inputs and limits that it is based on.
struct Explanation {
  ServiceName service;
  /// Absent if the request would be dispatched or queued.
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
