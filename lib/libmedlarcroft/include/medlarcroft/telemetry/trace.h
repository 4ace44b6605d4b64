#ifndef MEDLARCROFT_TELEMETRY_TRACE_H_
#define MEDLARCROFT_TELEMETRY_TRACE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "medlarcroft/core/result.h"

namespace medlarcroft::telemetry {

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;

/// @brief Trace context passed to the next service: W3C Trace Context, level 1.
struct TraceContext {
  TraceId trace_id{};
  SpanId span_id{};  ///< The sender's span, parent of the receiver's span.
  bool is_sampled = false;

  friend bool operator==(const TraceContext&, const TraceContext&) = default;
};

/// @brief Why a `traceparent` header was rejected. The request is then
/// processed with a new trace.
enum class TraceparentError {
  kBadLength,   ///< Too short, or too long for version 00.
  kBadVersion,  ///< "ff", or not two lower-case hexadecimal digits.
  kBadSeparator,
  kBadDigit,  ///< A field has other than lower-case hexadecimal digits.
  kZeroId,    ///< An id is all zeros.
};

/// @brief Parses a `traceparent` header. Fields that a version above 00 may
/// append are ignored.
[[nodiscard]] Result<TraceContext, TraceparentError> ParseTraceparent(
    std::string_view header);

/// @return a `traceparent` header of version 00.
[[nodiscard]] std::string FormatTraceparent(const TraceContext& context);

/// @return lower-case hexadecimal digits.
[[nodiscard]] std::string FormatId(const TraceId& id);
[[nodiscard]] std::string FormatId(const SpanId& id);

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_TRACE_H_
