#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_REQUEST_COMMAND_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_REQUEST_COMMAND_H_

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

#include "adapters/console/command.h"

namespace medlarcroft::adapters {

/// @brief One log line of a request.
struct RequestLogLine {
  std::string time;  ///< By the clock of the logging host.
  std::string text;
};

/// @return the lines of `log` whose "request" field is `id`. Lines without a
/// JSON object are skipped, and so is text before the object.
[[nodiscard]] std::vector<RequestLogLine> FindRequestLines(
    std::istream& log,
    const std::string& id);

/// @brief medlarctl request ID FILE…: prints the log lines of one request from
/// the logs of several hosts, sorted by time.
[[nodiscard]] ExitCode RunRequest(const CommandContext& context,
                                  std::span<const std::string> arguments);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_REQUEST_COMMAND_H_
