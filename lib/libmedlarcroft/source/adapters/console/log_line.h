#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_LOG_LINE_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_LOG_LINE_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace medlarcroft::adapters {

/// @brief Reads the JSON object of a log's line. Text before it is passed over
/// and taken off `text`.
/// @return nullopt: the line has none.
[[nodiscard]] std::optional<nlohmann::json> ReadLogLine(std::string& text);

/// @return the text of that field; empty when it is missing or no text, since a
/// log may hold anything.
[[nodiscard]] std::string TextField(const nlohmann::json& line,
                                    const char* name);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_LOG_LINE_H_
