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

// Requests that queue for as long as their objective allows are all late once
// they also have to travel to another region and back.
Duration RequestPath::UsefulWait(const Request& request,
                                 const Placement& placement) {
  const Duration slack = request.route->latency_objective -
                         distances_.RoundTrip(placement.target->Region()) -
                         TimesOf(request).Work(true);
  return FromSeconds(kUsefulSlack * std::max(0.0, ToSeconds(slack)));
}

std::optional<RequestFailure> RequestPath::CheckAdmission(
    Request& request,
    const Placement& placement,
    MonotonicTime now) {
  admission::ServiceAdmission& admission = admissions_[request.service];
  if (admission.HasSeveralLevels(now)) {
    request.admission.useful_wait = UsefulWait(request, placement);
  }
  const TargetState& target = *placement.target;
  const double slots = std::max(target.Record().slots, 1U);
  const Duration slot_time =
      FromSeconds(ToSeconds(ServiceTimesOf(request).MeanWork()) *
                  target.RelativeTime() / slots);
  const Duration longest =
      admission.LongestWait(request.admission, slot_time, now);
  if (admission.Admit(request.admission, placement.expected_wait, slot_time,
                      now)) {
    return std::nullopt;
  }
  const Duration excess = placement.expected_wait - longest;
  return RequestFailure{
      .reason = FailureReason::kOverloaded,
      .retry_after =
          admission.HasSeveralLevels(now)
              ? admission.RetryAfter(request.admission, excess,
                                     request.longest_retry_after, random_, now)
              : RetryAfter(excess),
      .best = placement,
      .limit = AdmissionLimit{.priority = request.admission.level.priority,
                              .longest_wait = longest,
                              .is_returning = request.admission.is_returning}};
}

}  // namespace medlarcroft::request_path
