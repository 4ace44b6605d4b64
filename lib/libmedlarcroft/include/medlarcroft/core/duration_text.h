#ifndef MEDLARCROFT_CORE_DURATION_TEXT_H_
#define MEDLARCROFT_CORE_DURATION_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/time.h"

namespace medlarcroft {

/// @return a time written as a number and its unit, "1500ms" or "2.5s"; nullopt
/// for anything else, a negative one, or one beyond some hundred days.
[[nodiscard]] std::optional<Duration> ParseDuration(std::string_view text);

/// @return whole milliseconds, "1500ms".
[[nodiscard]] std::string FormatDuration(Duration duration);

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_DURATION_TEXT_H_
