#ifndef MEDLARCROFT_ADAPTERS_PROCESS_PROGRAM_OPTIONS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_PROGRAM_OPTIONS_H_

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

#include "adapters/process/settings_document.h"

namespace medlarcroft::adapters {

/// Exit statuses of all programs: 0 done, 1 failed while it ran.
constexpr int kExitFailure = 1;
constexpr int kExitBadUsage = 2;     ///< The command line is wrong.
constexpr int kExitBadSettings = 3;  ///< The settings file is wrong.

/// @brief What a daemon's command line asks for.
enum class ProgramAction {
  kRun,
  kCheckSettings,
  kPrintSettings,
  kPrintReference,
  kExit,  ///< All is said: help, version or a usage error.
};

/// @brief A parsed command line.
struct ProgramCommand {
  ProgramAction action = ProgramAction::kExit;
  std::string settings_file;
  int exit_status = 0;  ///< For kExit.
};

/// @brief What a program is.
struct ProgramIdentity {
  std::string_view name;
  std::string_view summary;
};

/// @brief Reads --settings, --check-settings, --print-settings,
/// --settings-reference, --version and --help.
/// @param arguments without the program's own name.
[[nodiscard]] ProgramCommand ParseCommandLine(
    const ProgramIdentity& identity,
    std::span<const char* const> arguments,
    std::ostream& out,
    std::ostream& errors);

/// @brief Prints every fault, one a line.
void PrintSettingsErrors(const SettingsErrors& faults, std::ostream& errors);

/// @brief A program that is to run, with its settings.
template <typename Settings>
struct ProgramStart {
  std::string settings_file;  ///< To be read again on SIGHUP.
  Settings settings;
};

/// @brief The front of a daemon: does what the command line asks for.
/// @return what to run with, or the exit status when there is nothing to run.
template <typename Settings>
[[nodiscard]] Result<ProgramStart<Settings>, int> StartProgram(
    const ProgramIdentity& identity,
    const SettingsSchema<Settings>& schema,
    std::span<const char* const> arguments,
    std::ostream& out,
    std::ostream& errors) {
  const ProgramCommand command =
      ParseCommandLine(identity, arguments, out, errors);
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
    PrintSettingsErrors(ErrorOf(settings), errors);
    return kExitBadSettings;
  }
  if (command.action == ProgramAction::kCheckSettings) {
    out << command.settings_file << ": settings are good\n";
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
