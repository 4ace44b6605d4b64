#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_ERROR_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_ERROR_H_

#include <string>
#include <string_view>
#include <vector>

namespace medlarcroft::adapters {

/// @brief What is wrong with a place in a settings file.
enum class SettingsErrorCode {
  kUnreadable,    ///< The file can't be read.
  kNotYaml,       ///< The text is no YAML document.
  kUnknownKey,    ///< No setting has that name.
  kDuplicateKey,  ///< The same name twice; one value would be lost.
  kMissing,       ///< A required setting is not there.
  kWrongType,     ///< For example a list in place of a number.
  kOutOfRange,    ///< Below the minimum or above the maximum.
  kNotAllowed,    ///< The text does not have the form that is asked for.
};

/// @brief One fault, with what an operator needs to mend it.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kUnreadable;
  std::string file;
  int line = 0;         ///< From 1; 0 when no line is to blame.
  std::string field;    ///< For example "operators[2].token".
  std::string allowed;  ///< What may stand there.
};

using SettingsErrors = std::vector<SettingsError>;

/// @return the code's name as printed, for example "out-of-range".
[[nodiscard]] std::string_view NameOf(SettingsErrorCode code);

/// @return one line for people: "file:line: field: fault; allowed: …".
[[nodiscard]] std::string FormatSettingsError(const SettingsError& fault);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_ERROR_H_
