#include "adapters/process/settings_field.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "medlarcroft/core/duration_text.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::string_view kMask = "(secret)";

std::string Join(std::string_view path, std::string_view name) {
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

/// @brief Checks the key, then reads the value.
void ReadMember(std::span<const SettingField> fields,
                void* settings,
                const SettingPlace& parent,
                const YAML::Node& key,
                const YAML::Node& value,
                std::set<std::string>& seen) {
  const std::string name = key.IsScalar() ? key.Scalar() : std::string("?");
  const std::string path = Join(parent.path, name);
  const SettingField* field = FindField(fields, name);
  if (field == nullptr) {
    parent.sink.Add(SettingsErrorCode::kUnknownKey, key, path,
                    ListNames(fields));
    return;
  }
  if (!seen.insert(name).second) {
    parent.sink.Add(SettingsErrorCode::kDuplicateKey, key, path,
                    "each name once");
    return;
  }
  // Failure: a template is filled in where a value does not exist. Symptom: the
  // name stands there with nothing behind it and the program refuses to start.
  // It counts as not given; a required one is still a fault.
  if (value.IsNull() && !field->options.is_required) {
    return;
  }
  field->read(settings, {.node = value, .path = path, .sink = parent.sink});
}

}  // namespace

void SettingsFaultSink::Add(SettingsErrorCode code,
                            const YAML::Node& node,
                            std::string_view field,
                            std::string_view allowed) {
  const YAML::Mark mark = node.Mark();
  faults_.push_back({.code = code,
                     .file = file_,
                     .line = mark.is_null() ? 0 : mark.line + 1,
                     .field = std::string(field),
                     .allowed = std::string(allowed)});
}

void ReadMapping(std::span<const SettingField> fields,
                 void* settings,
                 const SettingPlace& place) {
  if (!place.node.IsMap()) {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   "a mapping of " + ListNames(fields));
    return;
  }

  std::set<std::string> seen;
  for (const auto& member : place.node) {
    ReadMember(fields, settings, place, member.first, member.second, seen);
  }
  for (const SettingField& field : fields) {
    if (field.options.is_required && !seen.contains(field.name)) {
      place.sink.Add(SettingsErrorCode::kMissing, place.node,
                     Join(place.path, field.name), field.type);
    }
  }
}

YAML::Node WriteMapping(std::span<const SettingField> fields,
                        const void* settings) {
  YAML::Node mapping(YAML::NodeType::Map);
  for (const SettingField& field : fields) {
    if (field.options.is_secret) {
      mapping[field.name] = std::string(kMask);
    } else {
      mapping[field.name] = field.write(settings);
    }
  }
  return mapping;
}

void ReadText(const SettingPlace& place, TextRule rule, std::string& value) {
  if (!place.node.IsScalar()) {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   rule.allowed);
    return;
  }
  if (!rule.is_allowed(place.node.Scalar())) {
    place.sink.Add(SettingsErrorCode::kNotAllowed, place.node, place.path,
                   rule.allowed);
    return;
  }
  value = place.node.Scalar();
}

void ReadInteger(const SettingPlace& place,
                 SettingRange range,
                 std::int64_t& value) {
  const std::string allowed = DescribeRange("integer", range);
  const std::string text = place.node.IsScalar() ? place.node.Scalar() : "";
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error == std::errc::result_out_of_range) {
    place.sink.Add(SettingsErrorCode::kOutOfRange, place.node, place.path,
                   allowed);
    return;
  }
  if (text.empty() || error != std::errc() || stop != end) {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   allowed);
    return;
  }
  if (number < range.minimum || number > range.maximum) {
    place.sink.Add(SettingsErrorCode::kOutOfRange, place.node, place.path,
                   allowed);
    return;
  }
  value = number;
}

void ReadDuration(const SettingPlace& place,
                  SettingRange range,
                  Duration& value) {
  const std::string text = place.node.IsScalar() ? place.node.Scalar() : "";
  const std::optional<Duration> duration = ParseDuration(text);
  const std::string allowed =
      DescribeRange("duration with unit, milliseconds", range);
  if (!duration) {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   allowed);
    return;
  }
  const std::int64_t milliseconds = ToMilliseconds(*duration);
  if (milliseconds < range.minimum || milliseconds > range.maximum) {
    place.sink.Add(SettingsErrorCode::kOutOfRange, place.node, place.path,
                   allowed);
    return;
  }
  value = *duration;
}

void ReadReal(const SettingPlace& place, RealRange range, double& value) {
  double number = 0;
  if (!place.node.IsScalar() ||
      !YAML::convert<double>::decode(place.node, number)) {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   DescribeRange(range));
    return;
  }
  if (!(number >= range.minimum && number <= range.maximum)) {
    place.sink.Add(SettingsErrorCode::kOutOfRange, place.node, place.path,
                   DescribeRange(range));
    return;
  }
  value = number;
}

void ReadFlag(const SettingPlace& place, bool& value) {
  const std::string text = place.node.IsScalar() ? place.node.Scalar() : "";
  if (text != "true" && text != "false") {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   "true or false");
    return;
  }
  value = text == "true";
}

std::size_t ReadChoice(const SettingPlace& place,
                       std::span<const std::string_view> choices) {
  const std::string text = place.node.IsScalar() ? place.node.Scalar() : "";
  const auto found = std::find(choices.begin(), choices.end(), text);
  if (found == choices.end()) {
    place.sink.Add(place.node.IsScalar() ? SettingsErrorCode::kNotAllowed
                                         : SettingsErrorCode::kWrongType,
                   place.node, place.path, DescribeChoices(choices));
  }
  return static_cast<std::size_t>(found - choices.begin());
}

void ReadList(const SettingPlace& place,
              ListSize size,
              const std::function<void(const SettingPlace&)>& read_item) {
  if (!place.node.IsSequence()) {
    place.sink.Add(SettingsErrorCode::kWrongType, place.node, place.path,
                   "a list");
    return;
  }
  if (place.node.size() < size.least || place.node.size() > size.most) {
    place.sink.Add(SettingsErrorCode::kOutOfRange, place.node, place.path,
                   std::to_string(size.least) + " to " +
                       std::to_string(size.most) + " items");
    return;
  }
  std::size_t index = 0;
  for (const YAML::Node& item : place.node) {
    const std::string path =
        std::string(place.path) + "[" + std::to_string(index++) + "]";
    read_item({.node = item, .path = path, .sink = place.sink});
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
