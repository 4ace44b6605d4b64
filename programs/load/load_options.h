#ifndef MEDLARCROFT_PROGRAMS_LOAD_LOAD_OPTIONS_H_
#define MEDLARCROFT_PROGRAMS_LOAD_LOAD_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

namespace medlarcroft::load {

/// @brief Command line options of medlar-load.
struct LoadOptions {
  std::string plan_file;
  std::string deployment_file;
  std::vector<std::string> lookup_urls;  ///< Instead of a deployment file.
  std::string name = "medlar-load";
  std::string json_file;
  std::string html_file;
  std::string baseline_file;
  bool is_quiet = false;  ///< No progress lines.
};

/// @brief The options, or the exit status when there is nothing to run.
struct ParsedOptions {
  std::optional<LoadOptions> options;
  int exit_status = 0;
};

[[nodiscard]] ParsedOptions ParseLoadOptions(int argc, char** argv);

}  // namespace medlarcroft::load

#endif  // MEDLARCROFT_PROGRAMS_LOAD_LOAD_OPTIONS_H_
