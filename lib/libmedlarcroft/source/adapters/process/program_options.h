#ifndef MEDLARCROFT_ADAPTERS_PROCESS_PROGRAM_OPTIONS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_PROGRAM_OPTIONS_H_

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

#include "adapters/process/settings_document.h"

namespace medlarcroft::adapters {

/// Exit statuses of all programs: 0 for success, 1 for a failure at run time.
constexpr int kExitFailure = 1;
constexpr int kExitBadUsage = 2;     ///< The command line is invalid.
constexpr int kExitBadSettings = 3;  ///< The settings file is invalid.

/// @brief The action that a daemon's command line requests.
enum class ProgramAction {
  kRun,
  kCheckSettings,
  kPrintSettings,
  kPrintReference,
  kExit,  ///< Help, version or usage error, already printed.
};

/// @brief A parsed command line.
struct ProgramCommand {
  ProgramAction action = ProgramAction::kExit;
  std::string settings_file;
  int exit_status = 0;  ///< For kExit.
};

/// @brief Name and one-line description of a program.
struct ProgramIdentity {
  std::string_view name;
  std::string_view summary;
};

/// @brief Parses --settings, --check-settings, --print-settings,
/// --settings-reference, --version and --help. Prints help, version and usage
/// errors.
/// @param arguments without the program name.
[[nodiscard]] ProgramCommand ParseCommandLine(
    const ProgramIdentity& identity,
    std::span<const char* const> arguments,
    std::ostream& out,
    std::ostream& error_output);

/// @brief Prints all errors, one per line.
void PrintSettingsErrors(const SettingsErrors& errors,
                         std::ostream& error_output);

/// @brief The settings to run a program with.
template <typename Settings>
struct ProgramStart {
  std::string settings_file;  ///< Read again on SIGHUP.
  Settings settings;
};

/// @brief Parses the command line and loads the settings. Actions other than
/// running the program, such as printing the settings, are done here.
/// @return the settings to run with, or the exit status of a program that must
/// not run.
template <typename Settings>
[[nodiscard]] Result<ProgramStart<Settings>, int> StartProgram(
    const ProgramIdentity& identity,
    const SettingsSchema<Settings>& schema,
    std::span<const char* const> arguments,
    std::ostream& out,
    std::ostream& error_output) {
  const ProgramCommand command =
      ParseCommandLine(identity, arguments, out, error_output);
  if (command.action == ProgramAction::kExit) {
    return command.exit_status;
  }
  if (command.action == ProgramAction::kPrintReference) {
    const Settings defaults;
    out << FormatReference(schema.Fields(), &defaults);
    return 0;
  }

  auto settings = LoadSettings(schema, command.settings_file);
  if (!IsOk(settings)) {
    PrintSettingsErrors(ErrorOf(settings), error_output);
    return kExitBadSettings;
  }
  if (command.action == ProgramAction::kCheckSettings) {
    out << command.settings_file << ": settings are valid\n";
    return 0;
  }
  if (command.action == ProgramAction::kPrintSettings) {
    out << FormatSettings(schema, ValueOf(settings));
    return 0;
  }
  return ProgramStart<Settings>{.settings_file = command.settings_file,
                                .settings = TakeValue(std::move(settings))};
}

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_PROGRAM_OPTIONS_H_
