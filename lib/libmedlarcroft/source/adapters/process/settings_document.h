#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_DOCUMENT_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_DOCUMENT_H_

#include <span>
#include <string>
#include <string_view>

#include "adapters/process/settings_schema.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::adapters {

/// @brief The largest settings file that is read, bytes.
constexpr std::size_t kMaxSettingsBytes = std::size_t{1024} * 1024;

/// @return the file's text, or the fault that it can't be read.
[[nodiscard]] Result<std::string, SettingsErrors> ReadSettingsFile(
    const std::string& file);

/// @brief Reads YAML into `settings`.
/// @param file named in faults only.
/// @return all faults, in the order of the file; none when all is well.
[[nodiscard]] SettingsErrors ParseSettingsInto(
    std::span<const SettingField> fields,
    std::string_view text,
    std::string_view file,
    void* settings);

/// @return the settings of `text`, or every fault found.
template <typename Settings>
[[nodiscard]] Result<Settings, SettingsErrors> ParseSettings(
    const SettingsSchema<Settings>& schema,
    std::string_view text,
    std::string_view file) {
  Settings settings;
  SettingsErrors faults =
      ParseSettingsInto(schema.Fields(), text, file, &settings);
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

/// @return the settings of a file, or every fault found.
template <typename Settings>
[[nodiscard]] Result<Settings, SettingsErrors> LoadSettings(
    const SettingsSchema<Settings>& schema,
    const std::string& file) {
  const auto text = ReadSettingsFile(file);
  if (!IsOk(text)) {
    return ErrorOf(text);
  }
  return ParseSettings(schema, ValueOf(text), file);
}

/// @return the settings in force as YAML, secrets masked.
template <typename Settings>
[[nodiscard]] std::string FormatSettings(const SettingsSchema<Settings>& schema,
                                         const Settings& settings) {
  return YAML::Dump(WriteMapping(schema.Fields(), &settings)) + "\n";
}

/// @return a Markdown table of the fields; `defaults` points to a structure as
/// constructed.
[[nodiscard]] std::string FormatReference(std::span<const SettingField> fields,
                                          const void* defaults);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_DOCUMENT_H_
