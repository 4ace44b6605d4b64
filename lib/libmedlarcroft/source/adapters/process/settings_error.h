#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_ERROR_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_ERROR_H_

#include <string>
#include <string_view>
#include <vector>

namespace medlarcroft::adapters {

/// @brief Kinds of errors in a settings file.
enum class SettingsErrorCode {
  kUnreadable,    ///< The file can't be read.
  kNotYaml,       ///< The text is not valid YAML.
  kUnknownKey,    ///< No setting has this name.
  kDuplicateKey,  ///< The name occurs twice; one value would be lost.
  kMissing,       ///< A required setting is missing.
  kWrongType,     ///< For example a list instead of a number.
  kOutOfRange,    ///< Below the minimum or above the maximum.
  kNotAllowed,    ///< The text does not have the required form.
};

/// @brief An error with the details that an operator needs to fix it.
struct SettingsError {
  SettingsErrorCode code = SettingsErrorCode::kUnreadable;
  std::string file;
  int line = 0;         ///< Counted from 1; 0 when no line applies.
  std::string field;    ///< For example "operators[2].token".
  std::string allowed;  ///< Description of the allowed values.
};

using SettingsErrors = std::vector<SettingsError>;

/// @return the printed name of the code, for example "out-of-range".
[[nodiscard]] std::string_view NameOf(SettingsErrorCode code);

/// @return a human-readable line: "file:line: field: error; allowed: …".
[[nodiscard]] std::string FormatSettingsError(const SettingsError& error);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_ERROR_H_
