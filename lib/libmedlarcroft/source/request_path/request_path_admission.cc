// RequestPath: which requests are admitted while slots are short.
#include <algorithm>

#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

namespace {

// Part of the time that the objective leaves which may be spent in a queue; the
// estimate of the wait may be too short.
constexpr double kUsefulSlack = 0.8;

}  // namespace

admission::AdmissionRequest RequestPath::DescribeForAdmission(
    const Request& request,
    Duration caller_time_left) {
  const routing::Route& route = *request.route;
  admission::AdmissionRequest described{
      .level = {.priority = route.priority, .route_priority = route.priority},
      .useful_wait = MaxQueueWait(request),
      .is_returning =
          returning_callers_.OnRequest(route.name, caller_time_left)};
  if (request.account) {
    described.level.priority =
        request.account->priority.value_or(route.priority);
    described.account = request.account->name;
    described.quota = request.account->quota.requests_per_second;
  }
  return described;
}

// Returns the part `kUsefulSlack` of what remains of the objective after the
// round trip and the processing time of a warm object.
Duration RequestPath::UsefulWait(const Request& request,
                                 const Placement& placement) {
  const Duration slack = request.route->latency_objective -
                         distances_.RoundTrip(placement.target->Region()) -
                         TimesOf(request).Work(true);
  return FromSeconds(kUsefulSlack * std::max(0.0, ToSeconds(slack)));
}

std::optional<RequestFailure> RequestPath::CheckAdmission(
    const Request& request,
    const Placement& placement,
    MonotonicTime now) {
  admission::ServiceAdmission& admission = admissions_[request.service];
  const TargetState& target = *placement.target;
  const double slots = std::max(target.Record().slots, 1U);
  const Duration slot_time =
      FromSeconds(ToSeconds(ServiceTimesOf(request).MeanWork()) *
                  target.RelativeTime(now) * target.SlowdownAt(now) / slots);
  const bool has_several_levels = admission.HasSeveralLevels(now);
  admission::AdmissionRequest described = request.admission;
  if (has_several_levels) {
    // An objective that can't be met must not shorten the limits of all less
    // urgent requests to nothing.
    described.useful_wait = std::max(UsefulWait(request, placement), slot_time);
  }
  const auto decision =
      admission.Admit(described, placement.expected_wait, slot_time, now);
  if (decision.is_admitted) {
    return std::nullopt;
  }
  const Duration excess = placement.expected_wait - decision.max_wait;
  return RequestFailure{
      .reason = FailureReason::kOverloaded,
      .retry_after =
          has_several_levels
              ? admission.RetryAfter(described, excess,
                                     request.longest_retry_after, random_, now)
              : RetryAfter(excess),
      .best = placement,
      .limit = AdmissionLimit{.priority = described.level.priority,
                              .max_wait = decision.max_wait,
                              .is_returning = described.is_returning}};
}

}  // namespace medlarcroft::request_path
