#ifndef MEDLARCROFT_ADAPTERS_PROCESS_TEXT_FILE_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_TEXT_FILE_H_

#include <optional>
#include <string>

namespace medlarcroft::adapters {

/// @return the contents of the file; an empty string for an empty path; nullopt
/// when the file can't be opened.
[[nodiscard]] std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_TEXT_FILE_H_
