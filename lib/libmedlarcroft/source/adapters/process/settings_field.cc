#include "adapters/process/settings_field.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "medlarcroft/core/duration_text.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::string_view kMaskedSecret = "(secret)";

std::string JoinPath(std::string_view path, std::string_view name) {
  return path.empty() ? std::string(name)
                      : std::string(path) + "." + std::string(name);
}

const SettingField* FindField(std::span<const SettingField> fields,
                              std::string_view name) {
  const auto found = std::find_if(
      fields.begin(), fields.end(),
      [name](const SettingField& field) { return field.name == name; });
  return found == fields.end() ? nullptr : &*found;
}

std::string ListNames(std::span<const SettingField> fields) {
  std::string names;
  for (const SettingField& field : fields) {
    names += (names.empty() ? "" : ", ") + field.name;
  }
  return names;
}

/// @brief Checks one key of a mapping, then reads its value.
void ReadMember(std::span<const SettingField> fields,
                void* settings,
                const SettingLocation& parent,
                const YAML::Node& key,
                const YAML::Node& value,
                std::set<std::string>& seen) {
  const std::string name = key.IsScalar() ? key.Scalar() : std::string("?");
  const std::string path = JoinPath(parent.path, name);
  const SettingField* field = FindField(fields, name);
  if (field == nullptr) {
    parent.errors.Add(SettingsErrorCode::kUnknownKey, key, path,
                      ListNames(fields));
    return;
  }
  if (!seen.insert(name).second) {
    parent.errors.Add(SettingsErrorCode::kDuplicateKey, key, path,
                      "each name once");
    return;
  }
  // When a template is expanded in a deployment that lacks a value, the key is
  // present with an empty value, and the program would refuse to start.
  // Therefore an empty value counts as not set; for a required setting it stays
  // an error.
  if (value.IsNull() && !field->options.is_required) {
    return;
  }
  field->read(settings, {.node = value, .path = path, .errors = parent.errors});
}

}  // namespace

void SettingsErrorCollector::Add(SettingsErrorCode code,
                                 const YAML::Node& node,
                                 std::string_view field,
                                 std::string_view allowed) {
  const YAML::Mark mark = node.Mark();
  errors_.push_back({.code = code,
                     .file = file_,
                     .line = mark.is_null() ? 0 : mark.line + 1,
                     .field = std::string(field),
                     .allowed = std::string(allowed)});
}

void ReadMapping(std::span<const SettingField> fields,
                 void* settings,
                 const SettingLocation& location) {
  if (!location.node.IsMap()) {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, "a mapping of " + ListNames(fields));
    return;
  }

  std::set<std::string> seen;
  for (const auto& member : location.node) {
    ReadMember(fields, settings, location, member.first, member.second, seen);
  }
  for (const SettingField& field : fields) {
    if (field.options.is_required && !seen.contains(field.name)) {
      location.errors.Add(SettingsErrorCode::kMissing, location.node,
                          JoinPath(location.path, field.name), field.type);
    }
  }
}

YAML::Node WriteMapping(std::span<const SettingField> fields,
                        const void* settings) {
  YAML::Node mapping(YAML::NodeType::Map);
  for (const SettingField& field : fields) {
    if (field.options.is_secret) {
      mapping[field.name] = std::string(kMaskedSecret);
    } else {
      mapping[field.name] = field.write(settings);
    }
  }
  return mapping;
}

void ReadText(const SettingLocation& location,
              TextRule rule,
              std::string& value) {
  if (!location.node.IsScalar()) {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, rule.allowed);
    return;
  }
  if (!rule.is_allowed(location.node.Scalar())) {
    location.errors.Add(SettingsErrorCode::kNotAllowed, location.node,
                        location.path, rule.allowed);
    return;
  }
  value = location.node.Scalar();
}

void ReadInteger(const SettingLocation& location,
                 SettingRange range,
                 std::int64_t& value) {
  const std::string allowed = DescribeRange("integer", range);
  const std::string text =
      location.node.IsScalar() ? location.node.Scalar() : "";
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error == std::errc::result_out_of_range) {
    location.errors.Add(SettingsErrorCode::kOutOfRange, location.node,
                        location.path, allowed);
    return;
  }
  if (text.empty() || error != std::errc() || stop != end) {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, allowed);
    return;
  }
  if (number < range.minimum || number > range.maximum) {
    location.errors.Add(SettingsErrorCode::kOutOfRange, location.node,
                        location.path, allowed);
    return;
  }
  value = number;
}

void ReadDuration(const SettingLocation& location,
                  SettingRange range,
                  Duration& value) {
  const std::string text =
      location.node.IsScalar() ? location.node.Scalar() : "";
  const std::optional<Duration> duration = ParseDuration(text);
  const std::string allowed =
      DescribeRange("duration with unit, milliseconds", range);
  if (!duration) {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, allowed);
    return;
  }
  const std::int64_t milliseconds = ToMilliseconds(*duration);
  if (milliseconds < range.minimum || milliseconds > range.maximum) {
    location.errors.Add(SettingsErrorCode::kOutOfRange, location.node,
                        location.path, allowed);
    return;
  }
  value = *duration;
}

void ReadReal(const SettingLocation& location, RealRange range, double& value) {
  double number = 0;
  if (!location.node.IsScalar() ||
      !YAML::convert<double>::decode(location.node, number)) {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, DescribeRange(range));
    return;
  }
  if (!(number >= range.minimum && number <= range.maximum)) {
    location.errors.Add(SettingsErrorCode::kOutOfRange, location.node,
                        location.path, DescribeRange(range));
    return;
  }
  value = number;
}

void ReadFlag(const SettingLocation& location, bool& value) {
  const std::string text =
      location.node.IsScalar() ? location.node.Scalar() : "";
  if (text != "true" && text != "false") {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, "true or false");
    return;
  }
  value = text == "true";
}

std::size_t ReadChoice(const SettingLocation& location,
                       std::span<const std::string_view> choices) {
  const std::string text =
      location.node.IsScalar() ? location.node.Scalar() : "";
  const auto found = std::find(choices.begin(), choices.end(), text);
  if (found == choices.end()) {
    location.errors.Add(location.node.IsScalar()
                            ? SettingsErrorCode::kNotAllowed
                            : SettingsErrorCode::kWrongType,
                        location.node, location.path, DescribeChoices(choices));
  }
  return static_cast<std::size_t>(found - choices.begin());
}

void ReadList(const SettingLocation& location,
              ListSize size,
              const std::function<void(const SettingLocation&)>& read_item) {
  if (!location.node.IsSequence()) {
    location.errors.Add(SettingsErrorCode::kWrongType, location.node,
                        location.path, "a list");
    return;
  }
  if (location.node.size() < size.minimum ||
      location.node.size() > size.maximum) {
    location.errors.Add(SettingsErrorCode::kOutOfRange, location.node,
                        location.path,
                        std::to_string(size.minimum) + " to " +
                            std::to_string(size.maximum) + " items");
    return;
  }
  std::size_t index = 0;
  for (const YAML::Node& item : location.node) {
    const std::string path =
        std::string(location.path) + "[" + std::to_string(index++) + "]";
    read_item({.node = item, .path = path, .errors = location.errors});
  }
}

std::string DescribeRange(std::string_view type, SettingRange range) {
  return std::string(type) + ", " + std::to_string(range.minimum) + " to " +
         std::to_string(range.maximum);
}

std::string DescribeRange(RealRange range) {
  return "number, " + YAML::Dump(YAML::Node(range.minimum)) + " to " +
         YAML::Dump(YAML::Node(range.maximum));
}

std::string DescribeChoices(std::span<const std::string_view> choices) {
  std::string text = "one of ";
  for (const std::string_view choice : choices) {
    text += (choice == choices.front() ? "" : ", ") + std::string(choice);
  }
  return text;
}

}  // namespace medlarcroft::adapters
