#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_STATUS_COMMANDS_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_STATUS_COMMANDS_H_

#include "adapters/console/catalogue_commands.h"

namespace medlarcroft::adapters {

/// @brief Prints one line for each steerd that responds, with the functions
/// that are available there, and with --members the hosts that each one knows.
ExitCode RunStatus(const CommandContext& context, Arguments arguments);

/// @brief Prints the inputs, rule and limit that decide a look-up, as a tree.
ExitCode RunExplain(const CommandContext& context, Arguments arguments);

/// @brief Prints the status and catalogue of all steerds as one JSON document,
/// for support requests.
ExitCode RunReport(const CommandContext& context, Arguments arguments);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_STATUS_COMMANDS_H_
