#include "adapters/process/settings_document.h"

#include <fstream>
#include <iterator>

namespace medlarcroft::adapters {

namespace {

SettingsErrors MakeFileError(SettingsErrorCode code,
                             std::string_view file,
                             int line,
                             std::string_view allowed) {
  return {{.code = code,
           .file = std::string(file),
           .line = line,
           .field = "",
           .allowed = std::string(allowed)}};
}

std::string DescribeDefault(const SettingField& field,
                            const YAML::Node& defaults) {
  if (field.options.is_required) {
    return "required";
  }
  if (field.options.is_secret || !field.children.empty() || !defaults.IsMap()) {
    return "";
  }
  const std::string text = YAML::Dump(defaults[field.name]);
  return text.empty() || text == "\"\"" ? "none" : "`" + text + "`";
}

/// @brief Appends one table row per field to `page`, including nested fields.
/// @param defaults the mapping of the default values; a null node for the items
/// of a list, which have no defaults.
void AddRows(std::span<const SettingField> fields,
             const std::string& prefix,
             const YAML::Node& defaults,
             std::string& page) {
  for (const SettingField& field : fields) {
    const std::string path = prefix + field.name;
    page += "| `" + path + "` | " + field.type + " | " +
            DescribeDefault(field, defaults) + " | " +
            (field.options.is_reloadable ? "yes" : "no") + " | " +
            field.options.description + " |\n";
    const bool is_list = field.type == kListOfMappings;
    AddRows(field.children, path + (is_list ? "[]." : "."),
            is_list ? YAML::Node() : defaults[field.name], page);
  }
}

}  // namespace

Result<std::string, SettingsErrors> ReadSettingsFile(const std::string& file) {
  std::ifstream input(file, std::ios::binary);
  std::string text(kMaxSettingsBytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (input.bad() || !input.eof()) {
    return MakeFileError(SettingsErrorCode::kUnreadable, file, 0,
                         "a readable file of at most " +
                             std::to_string(kMaxSettingsBytes) + " bytes");
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  return text;
}

SettingsErrors ParseSettingsInto(std::span<const SettingField> fields,
                                 std::string_view text,
                                 std::string_view file,
                                 void* settings) {
  try {
    const YAML::Node document = YAML::Load(std::string(text));
    SettingsErrorCollector errors(file);
    ReadMapping(fields, settings,
                {.node = document, .path = "", .errors = errors});
    return errors.Take();
  } catch (const YAML::Exception& error) {
    return MakeFileError(SettingsErrorCode::kNotYaml, file,
                         error.mark.is_null() ? 0 : error.mark.line + 1,
                         "one YAML mapping");
  }
}

std::string FormatReference(std::span<const SettingField> fields,
                            const void* defaults) {
  std::string page =
      "| setting | allowed | default | reloads on SIGHUP | meaning |\n"
      "|---|---|---|---|---|\n";
  AddRows(fields, "", WriteMapping(fields, defaults), page);
  return page;
}

}  // namespace medlarcroft::adapters
