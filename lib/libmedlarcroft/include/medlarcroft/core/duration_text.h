#ifndef MEDLARCROFT_CORE_DURATION_TEXT_H_
#define MEDLARCROFT_CORE_DURATION_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/time.h"

namespace medlarcroft {

/// @brief Parses a number with unit "ms" or "s", such as "1500ms" or "2.5s".
/// @return nullopt for any other text, a negative duration, or more than 1e7 s
/// (115 days).
[[nodiscard]] std::optional<Duration> ParseDuration(std::string_view text);

/// @return the duration in whole milliseconds, such as "1500ms".
[[nodiscard]] std::string FormatDuration(Duration duration);

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_DURATION_TEXT_H_
