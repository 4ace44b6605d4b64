#include "adapters/process/settings_error.h"

#include <array>

namespace medlarcroft::adapters {

std::string_view NameOf(SettingsErrorCode code) {
  constexpr std::array<std::string_view, 8> kNames = {
      "unreadable", "not-yaml",   "unknown-key",  "duplicate-key",
      "missing",    "wrong-type", "out-of-range", "not-allowed"};
  return kNames.at(static_cast<std::size_t>(code));
}

std::string FormatSettingsError(const SettingsError& error) {
  std::string line = error.file;
  if (error.line > 0) {
    line += ":" + std::to_string(error.line);
  }
  line += ": ";
  if (!error.field.empty()) {
    line += error.field + ": ";
  }
  line += NameOf(error.code);
  if (!error.allowed.empty()) {
    line += "; allowed: " + error.allowed;
  }
  return line;
}

}  // namespace medlarcroft::adapters
