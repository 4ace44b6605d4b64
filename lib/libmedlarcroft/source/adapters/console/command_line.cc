#include "adapters/console/command_line.h"

namespace medlarcroft::adapters {

namespace options = boost::program_options;

std::optional<ParsedArguments> ParseArguments(
    const options::options_description& description,
    std::span<const std::string> arguments,
    std::size_t positional_count,
    std::ostream& errors) {
  options::options_description all;
  all.add(description);
  all.add_options()("word", options::value<std::vector<std::string>>());
  options::positional_options_description positions;
  positions.add("word", -1);

  ParsedArguments parsed;
  try {
    options::store(
        options::command_line_parser(
            std::vector<std::string>(arguments.begin(), arguments.end()))
            .options(all)
            .positional(positions)
            .run(),
        parsed.options);
    options::notify(parsed.options);
  } catch (const options::error& error) {
    errors << error.what() << '\n';
    return std::nullopt;
  }

  if (parsed.options.contains("word")) {
    parsed.positional = parsed.options["word"].as<std::vector<std::string>>();
  }
  if (parsed.positional.size() != positional_count) {
    errors << "expected " << positional_count << " argument(s), got "
           << parsed.positional.size() << '\n';
    return std::nullopt;
  }
  return parsed;
}

}  // namespace medlarcroft::adapters
