#ifndef MEDLARCROFT_PROGRAMS_MEDLARCTL_GLOBAL_OPTIONS_H_
#define MEDLARCROFT_PROGRAMS_MEDLARCTL_GLOBAL_OPTIONS_H_

#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "adapters/console/exit_code.h"

namespace medlarcroft::medlarctl {

/// @brief Options before the command, and the command with its arguments.
struct GlobalOptions {
  std::vector<std::string> steerd_urls;
  std::string token;
  std::string ca_file;
  bool is_json = false;
  std::vector<std::string> words;
  /// Set if the program is to exit at once: help, version or a usage error.
  std::optional<adapters::ExitCode> exit;
};

[[nodiscard]] GlobalOptions ParseGlobalOptions(
    std::span<const char* const> arguments,
    std::ostream& out,
    std::ostream& errors);

}  // namespace medlarcroft::medlarctl

#endif  // MEDLARCROFT_PROGRAMS_MEDLARCTL_GLOBAL_OPTIONS_H_
