#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_CATALOGUE_COMMANDS_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_CATALOGUE_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "adapters/console/command.h"

namespace medlarcroft::adapters {

using Arguments = std::span<const std::string>;

ExitCode RunCatalogueGet(const CommandContext& context, Arguments arguments);
ExitCode RunCataloguePut(const CommandContext& context, Arguments arguments);
ExitCode RunCatalogueDelete(const CommandContext& context, Arguments arguments);
ExitCode RunCatalogueList(const CommandContext& context, Arguments arguments);
ExitCode RunCatalogueHistory(const CommandContext& context,
                             Arguments arguments);
ExitCode RunCatalogueStatus(const CommandContext& context, Arguments arguments);
ExitCode RunCatalogueCheck(const CommandContext& context, Arguments arguments);

/// @brief A request to create, replace or delete a catalogue entry.
struct CatalogueChangeRequest {
  std::string method = "PUT";
  std::string entry;
  std::string document;
  std::uint64_t version = 0;  ///< 0: the entry must not exist yet.
  bool has_version = false;   ///< False: no precondition is sent.
  std::string change_id;
};

/// @brief Sends a change and prints its result.
/// @param revision set if the change was accepted.
ExitCode SendChange(const CommandContext& context,
                    const CatalogueChangeRequest& change,
                    std::optional<std::uint64_t>& revision);

/// @return the path of an entry, percent-encoded.
[[nodiscard]] std::string EntryPath(const std::string& entry);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_CATALOGUE_COMMANDS_H_
