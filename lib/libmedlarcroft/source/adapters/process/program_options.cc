#include "adapters/process/program_options.h"

#include <boost/program_options.hpp>
#include <ostream>
#include <vector>

#include "adapters/process/version.h"

namespace medlarcroft::adapters {

namespace {

namespace po = boost::program_options;

struct Flags {
  bool check = false;
  bool print = false;
  bool reference = false;
  bool version = false;
  bool help = false;
};

po::options_description MakeDescription(ProgramCommand& command, Flags& flags) {
  po::options_description description("Options");
  auto add = description.add_options();
  add("settings", po::value(&command.settings_file)->value_name("FILE"),
      "YAML settings file");
  add("check-settings", po::bool_switch(&flags.check),
      "check the settings, print all errors, and exit");
  add("print-settings", po::bool_switch(&flags.print),
      "print the effective settings with masked secrets, and exit");
  add("settings-reference", po::bool_switch(&flags.reference),
      "print a Markdown table of all settings and exit");
  add("version", po::bool_switch(&flags.version), "print the version and exit");
  add("help", po::bool_switch(&flags.help), "print this text and exit");
  return description;
}

ProgramAction ChooseAction(const Flags& flags) {
  if (flags.reference) {
    return ProgramAction::kPrintReference;
  }
  if (flags.check) {
    return ProgramAction::kCheckSettings;
  }
  return flags.print ? ProgramAction::kPrintSettings : ProgramAction::kRun;
}

}  // namespace

ProgramCommand ParseCommandLine(const ProgramIdentity& identity,
                                std::span<const char* const> arguments,
                                std::ostream& out,
                                std::ostream& error_output) {
  ProgramCommand command;
  Flags flags;
  const po::options_description description = MakeDescription(command, flags);
  try {
    po::variables_map values;
    const std::vector<std::string> words(arguments.begin(), arguments.end());
    po::store(po::command_line_parser(words)
                  .options(description)
                  .positional(po::positional_options_description())
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    error_output << identity.name << ": " << error.what() << "\n"
                 << description;
    command.exit_status = kExitBadUsage;
    return command;
  }

  if (flags.help) {
    out << identity.name << ": " << identity.summary << "\n" << description;
    return command;
  }
  if (flags.version) {
    out << identity.name << " " << kVersion << "\n";
    return command;
  }
  if (command.settings_file.empty() && !flags.reference) {
    error_output << identity.name << ": --settings FILE is required\n"
                 << description;
    command.exit_status = kExitBadUsage;
    return command;
  }
  command.action = ChooseAction(flags);
  return command;
}

void PrintSettingsErrors(const SettingsErrors& errors,
                         std::ostream& error_output) {
  for (const SettingsError& error : errors) {
    error_output << FormatSettingsError(error) << "\n";
  }
}

}  // namespace medlarcroft::adapters
