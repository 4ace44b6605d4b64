#include "medlarcroft/core/duration_text.h"

#include <charconv>
#include <cmath>

namespace medlarcroft {

namespace {

// Avoids an overflow of Duration.
constexpr double kLongestSeconds = 1e7;

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  double number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  const std::string_view unit =
      text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
  double seconds = number;
  if (unit == "ms") {
    seconds = number / 1000.0;
  } else if (unit != "s") {
    return std::nullopt;
  }
  return seconds > kLongestSeconds ? std::nullopt
                                   : std::optional(FromSeconds(seconds));
}

std::string FormatDuration(Duration duration) {
  return std::to_string(ToMilliseconds(duration)) + "ms";
}

}  // namespace medlarcroft
