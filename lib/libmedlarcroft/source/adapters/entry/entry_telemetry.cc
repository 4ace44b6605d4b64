#include "adapters/entry/entry_telemetry.h"

#include <array>
#include <utility>

#include "adapters/entry/problem.h"
#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

using telemetry::Label;
using telemetry::MetricDescription;

constexpr MetricDescription kRequests = {"medlar_requests_total",
                                         "Requests answered, by outcome."};
constexpr MetricDescription kRequestSeconds = {
    "medlar_request_seconds", "From a request's arrival to its final answer."};
constexpr MetricDescription kAttempts = {"medlar_attempts_total",
                                         "Attempts at targets, by their end."};
constexpr MetricDescription kAttemptSeconds = {
    "medlar_attempt_seconds", "From an attempt's dispatch to its end."};
constexpr MetricDescription kDispatches = {
    "medlar_dispatches_total", "Attempts begun: first, retry or hedge."};
constexpr MetricDescription kRefusals = {"medlar_refusals_total",
                                         "Requests refused, by reason."};
constexpr MetricDescription kSilentConnections = {
    "medlar_silent_connections_total",
    "Connections found open with nothing coming through."};

constexpr MetricDescription kRestsStarted = {
    "medlar_target_rests_started_total",
    "Times that a target began to rest because it asked this host for it."};
constexpr MetricDescription kRestsEnded = {
    "medlar_target_rests_ended_total",
    "Times that this host could use a target again after its rest."};
constexpr MetricDescription kLeavingStated = {
    "medlar_targets_leaving_stated_total",
    "Answers in which a target said that it leaves, which was not known."};

/// In the order of `decision::AttemptOutcome`.
constexpr std::array<std::string_view, 12> kAttemptOutcomeNames = {
    "answered", "server-error", "never-sent",      "shed",
    "leaving",  "truncated",    "connection-lost", "timed-out",
    "silent",   "cancelled",    "withheld",        "unproved"};

constexpr std::array<std::string_view, 3> kDispatchKindNames = {
    "first", "retry", "hedge"};

}  // namespace

std::shared_ptr<telemetry::ActiveSpan> EntryTelemetry::StartRequest(
    const ServiceRequest& request,
    std::string_view trace_parent) {
  std::optional<telemetry::TraceContext> parent;
  const auto parsed = telemetry::ParseTraceparent(trace_parent);
  if (IsOk(parsed)) {
    parent = ValueOf(parsed);
  }
  auto span = std::make_shared<telemetry::ActiveSpan>(
      tracer_.Start("entry-host", telemetry::SpanKind::kServer, parent));
  if (span->IsSampled()) {
    span->SetAttribute("medlar.service", request.service.Value());
    span->SetAttribute("medlar.brand", request.brand.Value());
    span->SetAttribute("medlar.forwarded", request.forwarded_by.has_value());
  }
  return span;
}

void EntryTelemetry::EndRequest(const ServiceRequest& request,
                                const RequestResult& result,
                                Duration latency) {
  const std::string_view outcome = FormatRunState(result.run_state);
  metrics_
      .CounterOf(kRequests,
                 {request.service, Label::OfConstant("outcome", outcome)})
      .Add();
  metrics_.HistogramOf(kRequestSeconds, {request.service}).Record(latency);
  if (request.span && request.span->IsSampled()) {
    request.span->SetAttribute("medlar.outcome", std::string(outcome));
    request.span->SetAttribute("http.status_code",
                               std::int64_t{result.response.status});
    request.span->SetStatus(result.is_target_answer
                                ? telemetry::SpanStatus::kOk
                                : telemetry::SpanStatus::kError);
  }
  if (request.span) {
    request.span->End();
  }
}

AttemptTrace EntryTelemetry::OnAttemptStart(const ServiceRequest& request,
                                            const TargetName& target,
                                            decision::DispatchKind kind) {
  const std::string_view kind_name =
      kDispatchKindNames.at(static_cast<std::size_t>(kind));
  metrics_
      .CounterOf(kDispatches,
                 {request.service, Label::OfConstant("kind", kind_name)})
      .Add();

  AttemptTrace trace;
  if (!request.span) {
    return trace;
  }
  trace.span = std::make_shared<telemetry::ActiveSpan>(tracer_.Start(
      "target", telemetry::SpanKind::kClient, request.span->Context()));
  if (trace.span->IsSampled()) {
    trace.span->SetAttribute("medlar.target", target.Value());
    trace.span->SetAttribute("medlar.dispatch", std::string(kind_name));
  }
  trace.trace_parent = telemetry::FormatTraceparent(trace.span->Context());
  return trace;
}

void EntryTelemetry::OnAttemptEnd(const AttemptEvent& event) {
  const std::string_view outcome =
      kAttemptOutcomeNames.at(static_cast<std::size_t>(event.outcome));
  metrics_
      .CounterOf(kAttempts, {event.target, Label::OfConstant("end", outcome)})
      .Add();
  metrics_.HistogramOf(kAttemptSeconds, {event.target}).Record(event.latency);
  if (event.trace.span) {
    if (event.trace.span->IsSampled()) {
      event.trace.span->SetAttribute("medlar.attempt", std::string(outcome));
    }
    event.trace.span->End();
  }
}

void EntryTelemetry::OnRefused(const ServiceRequest& request,
                               const decision::Refusal& refusal) {
  metrics_
      .CounterOf(kRefusals,
                 {request.service,
                  Label::OfConstant("reason", NameOf(refusal.reason))})
      .Add();
}

void EntryTelemetry::OnSilentConnection(const TargetName& target) {
  metrics_.CounterOf(kSilentConnections, {target}).Add();
}

void EntryTelemetry::OnRestStarted(const TargetName& target,
                                   Duration length,
                                   std::string_view attempt) {
  metrics_.CounterOf(kRestsStarted, {target}).Add();
  Log(LogLevel::kInfo, "target-rest-started",
      {{"target", target.Value()},
       {"length_ms", ToMilliseconds(length)},
       {"attempt", attempt}});
}

void EntryTelemetry::OnRestEnded(const TargetName& target) {
  metrics_.CounterOf(kRestsEnded, {target}).Add();
  Log(LogLevel::kInfo, "target-rest-ended", {{"target", target.Value()}});
}

void EntryTelemetry::OnLeavingStated(const TargetName& target,
                                     std::string_view attempt) {
  metrics_.CounterOf(kLeavingStated, {target}).Add();
  Log(LogLevel::kInfo, "target-leaving-stated",
      {{"target", target.Value()}, {"attempt", attempt}});
}

}  // namespace medlarcroft::adapters
