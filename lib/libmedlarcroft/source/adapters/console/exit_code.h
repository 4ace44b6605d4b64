#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_EXIT_CODE_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_EXIT_CODE_H_

#include "adapters/process/program_options.h"

namespace medlarcroft::adapters {

/// @brief Exit codes of medlarctl, for use in scripts.
enum class ExitCode {
  kSuccess = 0,
  kFailed = kExitFailure,     ///< Any error without a code of its own.
  kBadUsage = kExitBadUsage,  ///< Invalid command line.
  kInvalid = 3,               ///< Invalid entry or file; faults are printed.
  kConflict = 4,              ///< Changed concurrently; read it again.
  kNotAllowed = 5,            ///< Unknown token, or token of another owner.
  kNotFound = 6,              ///< The entry does not exist.
  kUnreachable = 7,           ///< No steerd responded; nothing was changed.
  kUnavailable = 8,           ///< Platform unavailable; nothing was changed.
  kOutcomeUnknown = 9,        ///< Possibly changed: retry with the change id.
  kIncomplete = 10,           ///< The requested state is not reached yet.
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_EXIT_CODE_H_
