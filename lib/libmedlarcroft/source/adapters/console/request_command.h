#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_REQUEST_COMMAND_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_REQUEST_COMMAND_H_

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

#include "adapters/console/command.h"

namespace medlarcroft::adapters {

/// @brief One line of a log that names a request.
struct RequestLogLine {
  std::string time;  ///< As the host's clock told it.
  std::string text;
};

/// @return the lines of `log` that name the request `id`. Text before a line's
/// JSON object is passed over, and so are lines without one.
[[nodiscard]] std::vector<RequestLogLine> FindRequestLines(
    std::istream& log,
    const std::string& id);

/// @brief medlarctl request ID FILE…: one request's lines from several hosts'
/// logs, in the order of their times.
[[nodiscard]] ExitCode RunRequest(const CommandContext& context,
                                  std::span<const std::string> arguments);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_REQUEST_COMMAND_H_
