#ifndef MEDLARCROFT_DECISION_ADMISSION_H_
#define MEDLARCROFT_DECISION_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/request.h"
#include "medlarcroft/decision/service_config.h"

namespace medlarcroft::decision {

/// @brief All inputs to the decision on whether a request is admitted.
struct AdmissionInputs {
  bool has_live_target = false;
  bool has_free_target = false;
  std::uint32_t usable_slots = 0;
  std::uint32_t outstanding = 0;
  std::size_t queued = 0;
  std::size_t brand_queued = 0;
  double brand_share = 1.0;
  Duration service_time_mean{0};
  Duration service_time_p95{0};
  Duration time_left{0};
  Duration class_deadline{0};
  Duration queue_limit{0};
  bool is_shifted_in = false;
  double reserved_headroom = 0.0;
  std::size_t max_queued = 0;
  QueueBound queue_bound = QueueBound::kTime;
};

/// @brief The admission decision and the values it is based on.
struct AdmissionResult {
  /// Absent if the request is admitted, to be dispatched or queued.
  std::optional<RefusalReason> refusal;
  bool must_wait = false;
  Duration predicted_wait{0};
  /// The longest predicted wait with which a request is queued.
  Duration wait_limit{0};
};

/// @return the time before a request's deadline that is reserved for executing
/// it.
///
/// Without the reserve, slots are spent on answers that arrive after the
/// deadline. The reserve is the 95th percentile of the service time, which
/// keeps the 99th percentile of answered requests within the deadline. If the
/// class's own deadline is shorter than that, the mean is reserved instead, as
/// the class could otherwise not be served at all.
[[nodiscard]] Duration ExecutionTimeReserve(const AdmissionInputs& inputs);

/// @brief Admits, queues or refuses by class, brand and deadline.
///
/// When demand exceeds the usable slots, briefly or permanently, an unbounded
/// queue makes every caller wait for the whole queue, and all answers are late
/// although every slot is busy. A request is therefore queued only if its
/// predicted wait, given its brand's share, is within the class's queue limit
/// and its own deadline. Otherwise it is refused on arrival, while the caller
/// still has time to try elsewhere. Requests that were shifted in from another
/// failure domain leave the reserved headroom to the domain's own callers.
[[nodiscard]] AdmissionResult Admit(const AdmissionInputs& inputs);

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_ADMISSION_H_
