#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_DRAIN_COMMAND_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_DRAIN_COMMAND_H_

#include "adapters/console/catalogue_commands.h"

namespace medlarcroft::adapters {

/// @brief Creates or deletes the drain entry of a host, target or failure
/// domain. With --watch it waits until the entry is in force and the requests
/// in flight have ended.
ExitCode RunDrain(const CommandContext& context, Arguments arguments);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_DRAIN_COMMAND_H_
