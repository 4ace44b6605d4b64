#include "adapters/forward/request_telemetry.h"

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <utility>

namespace medlarcroft::adapters {

namespace {

using request_path::AttemptEnd;
using request_path::FailureReason;
using telemetry::Label;
using telemetry::MetricDescription;
using telemetry::RequestOutcome;

constexpr MetricDescription kAnsweredRequests = {
    "medlar_requests_answered_total", "Requests that got a target's answer."};
constexpr MetricDescription kLocallyEndedRequests = {
    "medlar_requests_ended_total",
    "Requests that this host answered itself, by reason."};
constexpr MetricDescription kOverloadRefusals = {
    "medlar_overload_refusals_total",
    "Requests refused for the wait in the targets' queues, by priority."};
// Less urgent priorities share the last label, which bounds their number.
constexpr std::array<std::string_view, 6> kPriorityLabels = {"0", "1", "2",
                                                             "3", "4", "5+"};
constexpr MetricDescription kCallersGone = {
    "medlar_callers_gone_total", "Callers that left before their answer."};
constexpr MetricDescription kAttempts = {"medlar_attempts_total",
                                         "Sends to targets, first or further."};
constexpr MetricDescription kAttemptEnds = {"medlar_attempt_ends_total",
                                            "Ends of sends, by what was seen."};
constexpr MetricDescription kUnloggedRequests = {
    "medlar_requests_not_logged_total",
    "Requests of which no line was written, by how they ended."};
constexpr MetricDescription kAnswerLatency = {
    "medlar_answer_seconds", "From a request's arrival to its whole answer."};

constexpr std::array<std::string_view, 21> kEndReasonNames = {
    "not-configured",
    "no-route",
    "no-route-yet",
    "no-target",
    "no-room",
    "too-late",
    "retries-spent",
    "may-have-run",
    "timed-out",
    "host-leaving",
    "crashes-targets",
    "key-unknown",
    "key-unknown-yet",
    "quota-exceeded",
    "quota-unknown",
    "region-forbidden",
    "targets-out-of-reach",
    "targets-resting",
    "regions-unknown",
    "slow-callers",
    "no-memory"};
constexpr std::array<std::string_view, 10> kAttemptEndNames = {
    "answered", "target-failed", "not-run",   "other-target", "never-sent",
    "lost",     "timed-out",     "no-helper", "helper-lost",  "withheld"};

RequestOutcome OutcomeOf(const routing::Route* route) {
  const bool is_non_idempotent =
      route != nullptr && route->kind == routing::RequestKind::kNonIdempotent;
  return is_non_idempotent ? RequestOutcome::kNonIdempotentFailed
                           : RequestOutcome::kFailed;
}

std::string JoinNames(std::span<const RegionName> names) {
  std::string joined;
  for (const RegionName& name : names) {
    joined.append(joined.empty() ? "" : ",").append(name.Value());
  }
  return joined;
}

void LogSend(WallTime at,
             std::string_view id,
             const routing::Route& route,
             const request_path::SendAttempt& attempt) {
  const request_path::Placement& placement = attempt.placement;
  LogUnthrottled(
      {.time = at,
       .level = LogLevel::kInfo,
       .event = attempt.attempt == 1 ? "request-placed" : "request-sent-again"},
      {{"request", id},
       {"route", route.name},
       {"account", attempt.account.Value()},
       {"attempt", attempt.attempt},
       {"target", attempt.target.name.Value()},
       {"incarnation", attempt.target.incarnation},
       {"region", attempt.region.Value()},
       {"is_relayed", !attempt.helper_regions.empty()},
       {"time_left_ms", ToMilliseconds(attempt.time_left)},
       {"expected_ms", ToMilliseconds(placement.expected)},
       {"expected_wait_ms", ToMilliseconds(placement.expected_wait)},
       {"estimated_load", placement.estimated_load},
       {"report_age_ms",
        attempt.report_age ? ToMilliseconds(*attempt.report_age) : -1},
       {"rank", placement.rank},
       {"is_warm", placement.is_warm},
       {"configuration", attempt.basis.configuration},
       {"configuration_age_ms",
        attempt.basis.configuration_age
            ? ToMilliseconds(*attempt.basis.configuration_age)
            : -1},
       {"allowed_regions", JoinNames(attempt.basis.allowed_regions)}});
}

void LogAttemptEnd(WallTime at,
                   std::string_view id,
                   const request_path::SendAttempt& attempt,
                   AttemptEnd end,
                   Duration since_arrival,
                   const std::optional<ResponseProof>& proof) {
  const ResponseProof shown = proof.value_or(ResponseProof{});
  LogUnthrottled(
      {.time = at, .level = LogLevel::kWarning, .event = "attempt-failed"},
      {{"request", id},
       {"attempt", attempt.attempt},
       {"target", attempt.target.name.Value()},
       {"incarnation", attempt.target.incarnation},
       {"address", attempt.address},
       {"end", NameOf(end)},
       {"status", shown.status},
       {"has_id", shown.has_id},
       {"is_connection_reused", shown.connection.is_reused},
       {"earlier_responses", shown.connection.earlier_responses},
       {"is_relayed", !attempt.helper_regions.empty()},
       {"since_arrival_ms", ToMilliseconds(since_arrival)}});
}

std::string_view PriorityLabel(int priority) {
  const int last = static_cast<int>(kPriorityLabels.size()) - 1;
  return kPriorityLabels.at(
      static_cast<std::size_t>(std::clamp(priority, 0, last)));
}

}  // namespace

std::string_view NameOf(FailureReason reason) {
  return kEndReasonNames.at(static_cast<std::size_t>(reason));
}

std::string_view NameOf(AttemptEnd end) {
  return kAttemptEndNames.at(static_cast<std::size_t>(end));
}

RequestTelemetry::RequestTelemetry(telemetry::MetricsRegistry& metrics,
                                   const ports::Clock& clock)
    : metrics_(metrics),
      clock_(clock),
      answered_(metrics.CounterOf(kAnsweredRequests)),
      caller_gone_(metrics.CounterOf(kCallersGone)),
      first_sends_(metrics.CounterOf(kAttempts,
                                     {Label::OfConstant("attempt", "first")})),
      further_sends_(
          metrics.CounterOf(kAttempts,
                            {Label::OfConstant("attempt", "further")})),
      answer_latency_(metrics.HistogramOf(kAnswerLatency)) {}

bool RequestTelemetry::IsSampledById(RequestLogBuffer& lines,
                                     std::string_view id) {
  if (!lines.is_sampled_by_id) {
    lines.is_sampled_by_id = budget_.SampleById(id, clock_.Now());
  }
  return *lines.is_sampled_by_id;
}

bool RequestTelemetry::SampleAtEnd(RequestLogBuffer& lines,
                                   std::string_view id,
                                   const routing::Route* route,
                                   RequestOutcome outcome) {
  if (IsSampledById(lines, id)) {
    return true;
  }
  if (!budget_.SampleAtEnd(outcome, clock_.Now())) {
    metrics_
        .CounterOf(kUnloggedRequests,
                   {Label::OfConstant("outcome", NameOf(outcome))})
        .Add();
    return false;
  }
  for (const BufferedAttempt& buffered : lines.attempts) {
    if (buffered.end) {
      LogAttemptEnd(buffered.at, id, buffered.attempt, *buffered.end,
                    buffered.since_arrival, buffered.proof);
    } else {
      LogSend(buffered.at, id, *route, buffered.attempt);
    }
  }
  return true;
}

LogLine RequestTelemetry::FinalLogLine(LogLevel level, std::string_view event) {
  return {.time = clock_.WallNow(),
          .level = level,
          .event = event,
          .suppressed_count = budget_.TakeUnsampledCount()};
}

void RequestTelemetry::OnSend(RequestLogBuffer& lines,
                              std::string_view id,
                              const routing::Route& route,
                              const request_path::SendAttempt& attempt) {
  (attempt.attempt == 1 ? first_sends_ : further_sends_).Add();
  if (IsSampledById(lines, id)) {
    LogSend(clock_.WallNow(), id, route, attempt);
  } else {
    lines.attempts.push_back({.at = clock_.WallNow(), .attempt = attempt});
  }
}

void RequestTelemetry::OnAttemptEnd(RequestLogBuffer& lines,
                                    std::string_view id,
                                    const request_path::SendAttempt& attempt,
                                    AttemptEnd end,
                                    Duration since_arrival,
                                    const std::optional<ResponseProof>& proof) {
  metrics_.CounterOf(kAttemptEnds, {Label::OfConstant("end", NameOf(end))})
      .Add();
  if (end == AttemptEnd::kAnswered) {
    return;
  }
  if (IsSampledById(lines, id)) {
    LogAttemptEnd(clock_.WallNow(), id, attempt, end, since_arrival, proof);
  } else {
    lines.attempts.push_back({.at = clock_.WallNow(),
                              .attempt = attempt,
                              .end = end,
                              .since_arrival = since_arrival,
                              .proof = proof});
  }
}

void RequestTelemetry::OnAnswer(RequestLogBuffer& lines,
                                std::string_view id,
                                const routing::Route& route,
                                int status,
                                Duration since_arrival) {
  answered_.Add();
  answer_latency_.Record(since_arrival);
  const bool is_late = since_arrival > route.latency_objective;
  if (!SampleAtEnd(lines, id, &route,
                   is_late ? RequestOutcome::kLate : RequestOutcome::kServed)) {
    return;
  }
  LogUnthrottled(FinalLogLine(LogLevel::kInfo, is_late ? "request-answered-late"
                                                       : "request-answered"),
                 {{"request", id},
                  {"route", route.name},
                  {"status", status},
                  {"since_arrival_ms", ToMilliseconds(since_arrival)},
                  {"objective_ms", ToMilliseconds(route.latency_objective)}});
}

void RequestTelemetry::OnEnding(RequestLogBuffer& lines,
                                const DecodedRequest& call,
                                const request_path::RequestStart& start,
                                const request_path::RequestFailure& failure,
                                std::uint64_t configuration_version,
                                Duration since_arrival) {
  const std::string_view name = NameOf(failure.reason);
  const routing::Route* const route = start.route.get();
  const auto& best = failure.best;
  metrics_.CounterOf(kLocallyEndedRequests, {Label::OfConstant("reason", name)})
      .Add();
  if (failure.limit) {
    metrics_
        .CounterOf(kOverloadRefusals,
                   {Label::OfConstant("priority",
                                      PriorityLabel(failure.limit->priority))})
        .Add();
  }
  if (!SampleAtEnd(lines, call.id, route, OutcomeOf(route))) {
    return;
  }
  LogUnthrottled(
      FinalLogLine(LogLevel::kWarning,
                   failure.is_not_run ? "request-refused" : "request-failed"),
      {{"request", call.id},
       {"route", route == nullptr ? std::string_view{} : route->name},
       {"account", start.account == nullptr ? std::string_view{}
                                            : start.account->name.Value()},
       {"path", call.request.target},
       {"reason", name},
       {"is_not_run", failure.is_not_run},
       {"configuration", configuration_version},
       {"best_target",
        best ? best->target->Record().id.Value() : std::string()},
       {"expected_ms", best ? ToMilliseconds(best->expected) : -1},
       {"expected_wait_ms", best ? ToMilliseconds(best->expected_wait) : -1},
       {"estimated_load", best ? best->estimated_load : -1.0},
       {"priority", failure.limit ? failure.limit->priority : -1},
       {"max_wait_ms",
        failure.limit ? ToMilliseconds(failure.limit->max_wait) : -1},
       {"is_returning", failure.limit && failure.limit->is_returning},
       {"retry_after_ms",
        failure.retry_after ? ToMilliseconds(*failure.retry_after) : -1},
       {"since_arrival_ms", ToMilliseconds(since_arrival)}});
}

void RequestTelemetry::OnCallerGone(RequestLogBuffer& lines,
                                    std::string_view id,
                                    const routing::Route& route,
                                    Duration since_arrival) {
  caller_gone_.Add();
  if (!SampleAtEnd(lines, id, &route, RequestOutcome::kLate)) {
    return;
  }
  LogUnthrottled(FinalLogLine(LogLevel::kInfo, "request-cancelled"),
                 {{"request", id},
                  {"reason", "caller-gone"},
                  {"since_arrival_ms", ToMilliseconds(since_arrival)}});
}

}  // namespace medlarcroft::adapters
