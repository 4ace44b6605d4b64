#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_LOG_LINE_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_LOG_LINE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace medlarcroft::adapters {

/// @brief Parses the JSON object of a log line. Text before it is skipped and
/// removed from `text`.
/// @return nullopt if the line has no valid JSON object.
[[nodiscard]] std::optional<nlohmann::json> ParseLogLine(std::string& text);

/// @return the value of a string field; empty if it is missing or no string,
/// since logs may contain arbitrary data.
[[nodiscard]] std::string StringFieldOf(const nlohmann::json& line,
                                        const char* name);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_LOG_LINE_H_
