#include "adapters/process/settings_error.h"

#include <array>

namespace medlarcroft::adapters {

std::string_view NameOf(SettingsErrorCode code) {
  constexpr std::array<std::string_view, 8> kNames = {
      "unreadable", "not-yaml",   "unknown-key",  "duplicate-key",
      "missing",    "wrong-type", "out-of-range", "not-allowed"};
  return kNames.at(static_cast<std::size_t>(code));
}

std::string FormatSettingsError(const SettingsError& fault) {
  std::string line = fault.file;
  if (fault.line > 0) {
    line += ":" + std::to_string(fault.line);
  }
  line += ": ";
  if (!fault.field.empty()) {
    line += fault.field + ": ";
  }
  line += NameOf(fault.code);
  if (!fault.allowed.empty()) {
    line += "; allowed: " + fault.allowed;
  }
  return line;
}

}  // namespace medlarcroft::adapters
