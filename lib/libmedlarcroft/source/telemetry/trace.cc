#include "medlarcroft/telemetry/trace.h"

#include <algorithm>
#include <optional>
#include <span>

namespace medlarcroft::telemetry {

namespace {

// 00-<32 digits>-<16 digits>-<2 digits>
constexpr std::size_t kTraceIdAt = 3;
constexpr std::size_t kSpanIdAt = 36;
constexpr std::size_t kFlagsAt = 53;
constexpr std::size_t kLength = 55;
constexpr std::uint8_t kSampledFlag = 1;
constexpr std::string_view kCurrentVersion = "00";
constexpr std::string_view kForbiddenVersion = "ff";
constexpr std::string_view kDigits = "0123456789abcdef";

std::optional<unsigned> DigitOf(char symbol) {
  const std::size_t value = kDigits.find(symbol);
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(value);
}

/// @return whether `text` held two digits for each byte.
bool ReadBytes(std::string_view text, std::span<std::uint8_t> bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const auto high = DigitOf(text[2 * i]);
    const auto low = DigitOf(text[2 * i + 1]);
    if (!high || !low) {
      return false;
    }
    bytes[i] = static_cast<std::uint8_t>(*high * 16 + *low);
  }
  return true;
}

std::string FormatBytes(std::span<const std::uint8_t> bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte / 16];
    text += kDigits[byte % 16];
  }
  return text;
}

bool IsZero(std::span<const std::uint8_t> bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](std::uint8_t byte) { return byte == 0; });
}

std::optional<TraceparentError> CheckFrame(std::string_view header) {
  if (header.size() < kLength) {
    return TraceparentError::kBadLength;
  }
  const std::string_view version = header.substr(0, 2);
  std::array<std::uint8_t, 1> number{};
  if (!ReadBytes(version, number) || version == kForbiddenVersion) {
    return TraceparentError::kBadVersion;
  }
  if (version == kCurrentVersion && header.size() != kLength) {
    return TraceparentError::kBadLength;
  }
  const bool has_end = header.size() == kLength || header[kLength] == '-';
  if (header[kTraceIdAt - 1] != '-' || header[kSpanIdAt - 1] != '-' ||
      header[kFlagsAt - 1] != '-' || !has_end) {
    return TraceparentError::kBadSeparator;
  }
  return std::nullopt;
}

}  // namespace

Result<TraceContext, TraceparentError> ParseTraceparent(
    std::string_view header) {
  if (const auto error = CheckFrame(header)) {
    return *error;
  }

  TraceContext context;
  std::array<std::uint8_t, 1> flags{};
  if (!ReadBytes(header.substr(kTraceIdAt), context.trace_id) ||
      !ReadBytes(header.substr(kSpanIdAt), context.span_id) ||
      !ReadBytes(header.substr(kFlagsAt), flags)) {
    return TraceparentError::kBadDigit;
  }
  if (IsZero(context.trace_id) || IsZero(context.span_id)) {
    return TraceparentError::kZeroId;
  }
  context.is_sampled = (flags.front() & kSampledFlag) != 0;
  return context;
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + FormatId(context.trace_id) + "-" + FormatId(context.span_id) +
         (context.is_sampled ? "-01" : "-00");
}

std::string FormatId(const TraceId& id) {
  return FormatBytes(id);
}

std::string FormatId(const SpanId& id) {
  return FormatBytes(id);
}

}  // namespace medlarcroft::telemetry
