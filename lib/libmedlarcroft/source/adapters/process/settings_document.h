#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_DOCUMENT_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_DOCUMENT_H_

#include <span>
#include <string>
#include <string_view>

#include "adapters/process/settings_schema.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::adapters {

/// @brief Maximum size of a settings file, bytes.
constexpr std::size_t kMaxSettingsBytes = std::size_t{1024} * 1024;

/// @return the contents of the file, or `kUnreadable` when it can't be read or
/// is larger than `kMaxSettingsBytes`.
[[nodiscard]] Result<std::string, SettingsErrors> ReadSettingsFile(
    const std::string& file);

/// @brief Parses YAML into `settings`, a structure that `fields` describe.
/// @param file name of the file, used in errors only.
/// @return all errors; empty on success. A mapping's missing settings follow
/// the errors of those that it has, which are in the order of the file.
[[nodiscard]] SettingsErrors ParseSettingsInto(
    std::span<const SettingField> fields,
    std::string_view text,
    std::string_view file,
    void* settings);

/// @return the settings in `text`, or all errors found.
template <typename Settings>
[[nodiscard]] Result<Settings, SettingsErrors> ParseSettings(
    const SettingsSchema<Settings>& schema,
    std::string_view text,
    std::string_view file) {
  Settings settings;
  SettingsErrors errors =
      ParseSettingsInto(schema.Fields(), text, file, &settings);
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

/// @return the settings in a file, or all errors found.
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

/// @return the settings as YAML, with secrets masked.
template <typename Settings>
[[nodiscard]] std::string FormatSettings(const SettingsSchema<Settings>& schema,
                                         const Settings& settings) {
  return YAML::Dump(WriteMapping(schema.Fields(), &settings)) + "\n";
}

/// @return a Markdown table of the fields.
/// @param defaults a default-constructed settings structure.
[[nodiscard]] std::string FormatReference(std::span<const SettingField> fields,
                                          const void* defaults);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_DOCUMENT_H_
