#include "medlarcroft/decision/admission.h"

#include <algorithm>

namespace medlarcroft::decision {
namespace {

// The predicted wait is a mean. A request is queued only if the prediction is
// within this fraction of its limit, so that very few requests are refused
// after they have waited.
constexpr double kMaxPredictedWaitFraction = 0.8;

Duration PredictedWait(const AdmissionInputs& inputs) {
  if (inputs.has_free_target && inputs.queued == 0)
    return Duration(0);

  // Each active slot completes one request per mean service time, and the brand
  // gets its share of these completions. Usable slots that are occupied by
  // other services, or still held after a lost connection, complete no request
  // of this service.
  const std::uint32_t active_slots =
      std::clamp(inputs.outstanding, 1U, inputs.usable_slots);
  const double completions_per_second =
      active_slots / std::max(ToSeconds(inputs.service_time_mean), 1e-6);
  const double queue_position = static_cast<double>(inputs.brand_queued) + 1.0;
  return FromSeconds(queue_position /
                     (completions_per_second * inputs.brand_share));
}

bool WouldUseReservedHeadroom(const AdmissionInputs& inputs) {
  const double shifted_in_limit =
      inputs.usable_slots * (1.0 - inputs.reserved_headroom);
  return inputs.outstanding + 1 > shifted_in_limit;
}

}  // namespace

Duration ExecutionTimeReserve(const AdmissionInputs& inputs) {
  return inputs.service_time_p95 <= inputs.class_deadline
             ? inputs.service_time_p95
             : inputs.service_time_mean;
}

AdmissionResult Admit(const AdmissionInputs& inputs) {
  AdmissionResult result;
  if (!inputs.has_live_target) {
    result.refusal = RefusalReason::kNoTarget;
    return result;
  }
  if (inputs.usable_slots == 0) {
    result.refusal = RefusalReason::kNoShare;
    return result;
  }

  result.predicted_wait = PredictedWait(inputs);
  result.must_wait = result.predicted_wait > Duration(0);
  if (inputs.queue_bound == QueueBound::kUnbounded) {
    result.wait_limit = Duration::max();
    return result;
  }

  const Duration latest_start = inputs.time_left - ExecutionTimeReserve(inputs);
  result.wait_limit =
      FromSeconds(kMaxPredictedWaitFraction *
                  ToSeconds(std::min(inputs.queue_limit, latest_start)));
  if (inputs.time_left < inputs.service_time_mean) {
    result.refusal = RefusalReason::kDeadlineTooShort;
  } else if (inputs.is_shifted_in && WouldUseReservedHeadroom(inputs)) {
    result.refusal = RefusalReason::kHeadroomReserved;
  } else if (result.must_wait && (result.predicted_wait > result.wait_limit ||
                                  inputs.queued >= inputs.max_queued)) {
    result.refusal = latest_start < inputs.queue_limit
                         ? RefusalReason::kDeadlineTooShort
                         : RefusalReason::kQueueTooLong;
  }
  return result;
}

}  // namespace medlarcroft::decision
