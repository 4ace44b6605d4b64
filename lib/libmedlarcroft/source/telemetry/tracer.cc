#include "medlarcroft/telemetry/tracer.h"

#include <span>
#include <utility>

namespace medlarcroft::telemetry {

namespace {

/// Limits the memory of a span; further attributes are dropped.
constexpr std::size_t kMaxAttributes = 32;

void FillRandom(ports::RandomSource& random, std::span<std::uint8_t> bytes) {
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (i % sizeof(bits) == 0) {
      bits = random.Next();
    }
    bytes[i] = static_cast<std::uint8_t>(bits);
    bits >>= 8U;
  }
  // An id of all zeros is invalid.
  bytes.back() |= 1U;
}

}  // namespace

ActiveSpan::ActiveSpan(const Tracer& tracer,
                       Span span,
                       MonotonicTime started_at)
    : tracer_(&tracer), span_(std::move(span)), started_at_(started_at) {}

ActiveSpan::ActiveSpan(ActiveSpan&& other) noexcept
    : tracer_(std::exchange(other.tracer_, nullptr)),
      span_(std::move(other.span_)),
      started_at_(other.started_at_) {}

ActiveSpan::~ActiveSpan() {
  End();
}

void ActiveSpan::SetAttribute(std::string_view name, SpanValue value) {
  if (IsSampled() && span_.attributes.size() < kMaxAttributes) {
    span_.attributes.push_back(
        {.name = std::string(name), .value = std::move(value)});
  }
}

void ActiveSpan::End() {
  const Tracer* const tracer = std::exchange(tracer_, nullptr);
  if (tracer == nullptr || !IsSampled()) {
    return;
  }
  span_.duration = tracer->clock_.Now() - started_at_;
  tracer->exporter_.Export(span_);
}

Tracer::Tracer(const ports::Clock& clock,
               ports::RandomSource& random,
               SpanExporter& exporter,
               double sampling)
    : clock_(clock),
      random_(random),
      exporter_(exporter),
      sampling_(sampling) {}

ActiveSpan Tracer::Start(std::string_view name,
                         SpanKind kind,
                         const std::optional<TraceContext>& parent) {
  Span span{
      .name = std::string(name), .kind = kind, .started_at = clock_.WallNow()};
  const std::lock_guard lock(random_mutex_);
  if (parent) {
    span.context.trace_id = parent->trace_id;
    span.context.is_sampled = parent->is_sampled;
    span.parent = parent->span_id;
  } else {
    FillRandom(random_, span.context.trace_id);
    span.context.is_sampled = random_.NextUnit() < sampling_;
  }
  FillRandom(random_, span.context.span_id);
  return {*this, std::move(span), clock_.Now()};
}

}  // namespace medlarcroft::telemetry
