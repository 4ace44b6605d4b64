#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_COMMAND_LINE_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_COMMAND_LINE_H_

#include <boost/program_options.hpp>
#include <cstddef>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

namespace medlarcroft::adapters {

/// @brief Options and positional arguments of a command.
struct ParsedArguments {
  boost::program_options::variables_map options;
  std::vector<std::string> positional;
};

/// @param positional_count required number of positional arguments.
/// @return nullopt after printing the error to `errors`.
[[nodiscard]] std::optional<ParsedArguments> ParseArguments(
    const boost::program_options::options_description& options,
    std::span<const std::string> arguments,
    std::size_t positional_count,
    std::ostream& errors);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_COMMAND_LINE_H_
