#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_IN_FORCE_WAIT_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_IN_FORCE_WAIT_H_

#include <cstdint>
#include <vector>

#include "adapters/console/command.h"
#include "adapters/console/steerd_status.h"

namespace medlarcroft::adapters {

/// @return the status of every steerd that responds.
[[nodiscard]] std::vector<SteerdStatus> FetchStatuses(
    const CommandContext& context);

/// @brief Polls until `revision` is in force on all hosts that are alive, then
/// prints the time that each failure domain took. Unreachable hosts are listed
/// but not waited for.
/// @return kSuccess, kUnreachable, or kIncomplete when `limit` expires first.
[[nodiscard]] ExitCode WaitUntilInForce(const CommandContext& context,
                                        std::uint64_t revision,
                                        Duration limit);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_IN_FORCE_WAIT_H_
