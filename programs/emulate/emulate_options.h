#ifndef MEDLARCROFT_PROGRAMS_EMULATE_EMULATE_OPTIONS_H_
#define MEDLARCROFT_PROGRAMS_EMULATE_EMULATE_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarcroft::emulate {

/// @brief Command line options of medlar-emulate.
struct EmulateOptions {
  std::string deployment_file;
  std::string varied_option;   ///< Empty: compare the known policies.
  std::vector<double> values;  ///< Of the varied option.
  std::uint32_t seeds = 5;
  std::string table_file;  ///< Empty: standard output.
  std::string plot_file;   ///< Empty: none.
  bool shows_windows = false;
};

struct ParsedOptions {
  std::optional<EmulateOptions> options;  ///< Unset: exit with `exit_status`.
  int exit_status = 0;
};

[[nodiscard]] ParsedOptions ParseEmulateOptions(int argc, char** argv);

}  // namespace medlarcroft::emulate

#endif  // MEDLARCROFT_PROGRAMS_EMULATE_EMULATE_OPTIONS_H_
