#include "global_options.h"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>

#include "adapters/console/command.h"
#include "adapters/process/version.h"

namespace medlarcroft::medlarctl {

namespace {

namespace options = boost::program_options;
using adapters::ExitCode;

constexpr const char* kDefaultUrl = "http://127.0.0.1:17001";

constexpr const char* kExitCodes =
    "Exit codes: 0 done, 1 failed, 2 bad usage, 3 invalid entry or file,\n"
    "  4 conflict, 5 not allowed, 6 not found, 7 no steerd answered,\n"
    "  8 platform unavailable (nothing was done), 9 outcome unknown (retry\n"
    "  with the change id), 10 not complete (yet).\n";

options::options_description Describe(GlobalOptions& global,
                                      std::string& token_file) {
  options::options_description description("Options, before the command");
  auto add = description.add_options();
  add("steerd",
      options::value(&global.steerd_urls)
          ->composing()
          ->default_value({kDefaultUrl}, kDefaultUrl),
      "URL of a steerd; may be repeated, the next one is tried if one does "
      "not respond");
  add("token-file", options::value(&token_file),
      "file with the operator's token; default: MEDLARCTL_TOKEN");
  add("ca-file", options::value(&global.ca_file),
      "trusted CA certificates for https, PEM");
  add("json", options::bool_switch(&global.is_json),
      "print JSON instead of tables");
  add("version", "print the version");
  add("help", "print this text");
  return description;
}

void PrintHelp(const options::options_description& description,
               std::ostream& out) {
  out << "medlarctl: command-line tool for operators of medlarcroft\n\n"
         "medlarctl [options] command [arguments]\n\n"
      << description << "\nCommands:\n";
  adapters::PrintCommands(out);
  out << '\n' << kExitCodes;
}

/// @return false after printing why the token cannot be read.
bool ReadToken(const std::string& file,
               std::string& token,
               std::ostream& errors) {
  if (file.empty()) {
    const char* value = std::getenv("MEDLARCTL_TOKEN");
    token = value == nullptr ? "" : value;
    return true;
  }
  std::ifstream stream(file);
  if (!std::getline(stream, token)) {
    errors << file << ": the first line has no token\n";
    return false;
  }
  return true;
}

/// Options before the command are global; the rest belongs to the command.
/// @return the index of the command in `arguments`.
std::size_t FindCommand(const std::vector<std::string>& arguments) {
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string& word = arguments[i];
    if (!word.starts_with("--")) {
      return i;
    }
    const bool has_value =
        word == "--steerd" || word == "--token-file" || word == "--ca-file";
    i += has_value ? 1 : 0;
  }
  return arguments.size();
}

}  // namespace

GlobalOptions ParseGlobalOptions(std::span<const char* const> arguments,
                                 std::ostream& out,
                                 std::ostream& errors) {
  const std::vector<std::string> words(arguments.begin(), arguments.end());
  const auto command =
      words.begin() + static_cast<std::ptrdiff_t>(FindCommand(words));
  GlobalOptions global;
  std::string token_file;
  const auto description = Describe(global, token_file);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(
                       std::vector<std::string>(words.begin(), command))
                       .options(description)
                       .run(),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    errors << error.what() << '\n';
    global.exit = ExitCode::kBadUsage;
    return global;
  }

  if (values.contains("help") || words.empty()) {
    PrintHelp(description, out);
    global.exit = ExitCode::kSuccess;
  } else if (values.contains("version")) {
    out << "medlarctl " << adapters::kVersion << '\n';
    global.exit = ExitCode::kSuccess;
  } else if (!ReadToken(token_file, global.token, errors)) {
    global.exit = ExitCode::kBadUsage;
  }
  global.words.assign(command, words.end());
  return global;
}

}  // namespace medlarcroft::medlarctl
