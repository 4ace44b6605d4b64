#include "adapters/forward/request_trace.h"

#include <string>
#include <utility>

#include "adapters/forward/request_telemetry.h"
#include "medlarcroft/telemetry/trace.h"

namespace medlarcroft::adapters {

namespace {

using telemetry::SpanKind;
using telemetry::SpanStatus;

constexpr std::string_view kTraceHeader = "traceparent";

std::optional<telemetry::TraceContext> ParseParent(const HttpRequest& call) {
  const auto parsed = telemetry::ParseTraceparent(
      call.headers.Find(kTraceHeader).value_or(std::string_view{}));
  return IsOk(parsed) ? std::optional(ValueOf(parsed)) : std::nullopt;
}

}  // namespace

RequestTrace::RequestTrace(telemetry::Tracer& tracer,
                           const HttpRequest& call,
                           std::string_view id)
    : tracer_(tracer) {
  telemetry::ActiveSpan span =
      tracer.Start("entry-host", SpanKind::kServer, ParseParent(call));
  if (!span.IsSampled()) {
    return;
  }
  request_span_.emplace(std::move(span));
  request_span_->SetAttribute("medlar.request", std::string(id));
}

void RequestTrace::OnSend(const request_path::SendAttempt& attempt,
                          HttpRequest& call) {
  if (!request_span_) {
    return;
  }
  telemetry::ActiveSpan span =
      tracer_.Start("target", SpanKind::kClient, request_span_->Context());
  span.SetAttribute("medlar.target", attempt.target.name.Value());
  span.SetAttribute("medlar.region", attempt.region.Value());
  span.SetAttribute("medlar.attempt", std::int64_t{attempt.attempt});
  call.headers.Set(kTraceHeader, telemetry::FormatTraceparent(span.Context()));
  attempt_spans_.emplace(attempt.attempt, std::move(span));
}

void RequestTrace::OnAttemptEnd(request_path::AttemptNumber attempt,
                                request_path::AttemptEnd end) {
  const auto found = attempt_spans_.find(attempt);
  if (found == attempt_spans_.end()) {
    return;
  }
  found->second.SetAttribute("medlar.end", std::string(NameOf(end)));
  found->second.SetStatus(end == request_path::AttemptEnd::kAnswered
                              ? SpanStatus::kOk
                              : SpanStatus::kError);
  attempt_spans_.erase(found);
}

void RequestTrace::OnAnswer(int status) {
  attempt_spans_.clear();
  if (!request_span_) {
    return;
  }
  request_span_->SetAttribute("http.status_code", std::int64_t{status});
  request_span_->SetStatus(SpanStatus::kOk);
  request_span_.reset();
}

void RequestTrace::OnEnding(const request_path::RequestFailure& failure) {
  attempt_spans_.clear();
  if (!request_span_) {
    return;
  }
  request_span_->SetAttribute("medlar.reason",
                              std::string(NameOf(failure.reason)));
  request_span_->SetStatus(SpanStatus::kError);
  request_span_.reset();
}

}  // namespace medlarcroft::adapters
