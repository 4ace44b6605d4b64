#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_COMMAND_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_COMMAND_H_

#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/console/exit_code.h"
#include "adapters/console/steerd_client.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::adapters {

/// @brief Dependencies and output streams shared by all commands.
struct CommandContext {
  SteerdClient& client;
  const ports::Clock& clock;
  std::function<void(Duration duration)> sleep;
  std::function<std::string()> make_change_id;
  std::ostream& out;
  std::ostream& errors;
  bool is_json = false;  ///< Print JSON instead of text tables.
};

/// @brief One command of medlarctl.
struct Command {
  std::string_view name;   ///< One or two words, e.g. "catalogue get".
  std::string_view usage;  ///< Synopsis of the arguments.
  std::string_view summary;
  std::string_view example;
  ExitCode (*run)(const CommandContext& context,
                  std::span<const std::string> arguments);
};

/// @return all commands in the order of the help text.
[[nodiscard]] std::span<const Command> AllCommands();

/// @brief Runs the command that `words` begin with; the remaining words are its
/// arguments.
[[nodiscard]] ExitCode RunCommand(const CommandContext& context,
                                  std::span<const std::string> words);

/// @brief Prints every command with its usage, summary and example.
void PrintCommands(std::ostream& out);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_COMMAND_H_
