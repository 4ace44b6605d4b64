#ifndef MEDLARCROFT_TELEMETRY_TRACER_H_
#define MEDLARCROFT_TELEMETRY_TRACER_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <string_view>

#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/telemetry/span.h"

namespace medlarcroft::telemetry {

class Tracer;

/// @brief A started span. If its trace is sampled, it is exported when it ends
/// or is destroyed; otherwise it only propagates the ids.
class ActiveSpan {
 public:
  ActiveSpan(ActiveSpan&& other) noexcept;
  ActiveSpan& operator=(ActiveSpan&&) = delete;
  ActiveSpan(const ActiveSpan&) = delete;
  ActiveSpan& operator=(const ActiveSpan&) = delete;
  ~ActiveSpan();

  /// @return the trace context to send to the next service.
  [[nodiscard]] const TraceContext& Context() const { return span_.context; }
  [[nodiscard]] bool IsSampled() const { return span_.context.is_sampled; }

  void SetAttribute(std::string_view name, SpanValue value);
  void SetStatus(SpanStatus status) { span_.status = status; }

  /// @brief Ends the span; further calls have no effect.
  void End();

 private:
  friend class Tracer;
  ActiveSpan(const Tracer& tracer, Span span, MonotonicTime started_at);

  const Tracer* tracer_;  ///< Null once ended.
  Span span_;
  MonotonicTime started_at_;
};

/// @brief Starts spans. The first service of a trace decides whether it is
/// sampled; all later ones keep that decision, so that a trace is complete or
/// absent. Thread-safe.
class Tracer {
 public:
  /// @param sampling fraction of the traces started here that is sampled, 0 to
  /// 1. All references must outlive the tracer and its spans.
  Tracer(const ports::Clock& clock,
         ports::RandomSource& random,
         SpanExporter& exporter,
         double sampling);

  /// @param parent trace context of the caller; nullopt starts a new trace.
  [[nodiscard]] ActiveSpan Start(std::string_view name,
                                 SpanKind kind,
                                 const std::optional<TraceContext>& parent);

  void SetSampling(double sampling) { sampling_ = sampling; }

 private:
  friend class ActiveSpan;

  const ports::Clock& clock_;
  ports::RandomSource& random_;
  SpanExporter& exporter_;
  std::atomic<double> sampling_;
  std::mutex random_mutex_;
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_TRACER_H_
