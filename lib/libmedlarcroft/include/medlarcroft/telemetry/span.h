#ifndef MEDLARCROFT_TELEMETRY_SPAN_H_
#define MEDLARCROFT_TELEMETRY_SPAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/telemetry/trace.h"

namespace medlarcroft::telemetry {

/// @brief Which side of a call a span describes. Values as in OTLP.
enum class SpanKind { kInternal = 1, kServer = 2, kClient = 3 };

/// @brief Status of a finished span. Values as in OTLP.
enum class SpanStatus { kUnset = 0, kOk = 1, kError = 2 };

using SpanValue = std::variant<bool, std::int64_t, double, std::string>;

/// @brief One attribute of a span, e.g. {"medlar.outcome", "not-run"}.
struct SpanAttribute {
  std::string name;
  SpanValue value;
};

/// @brief A finished span.
struct Span {
  TraceContext context;
  std::optional<SpanId> parent;
  std::string name;
  SpanKind kind = SpanKind::kInternal;
  WallTime started_at;
  Duration duration{0};
  SpanStatus status = SpanStatus::kUnset;
  std::vector<SpanAttribute> attributes;
};

/// @brief Receives finished spans. Called while handling requests, so it must
/// not block; it drops and counts spans that it cannot accept.
class SpanExporter {
 public:
  virtual ~SpanExporter() = default;
  virtual void Export(Span span) = 0;
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_SPAN_H_
