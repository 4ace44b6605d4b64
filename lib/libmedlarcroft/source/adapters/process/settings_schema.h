#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_SCHEMA_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_SCHEMA_H_

#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "adapters/process/settings_field.h"
#include "medlarcroft/core/duration_text.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Describes how a settings file maps to a structure; one call declares
/// one member. A member that the file does not set keeps the default of the
/// structure. Durations declared with `Milliseconds` are integers in the file,
/// and their names end in `_ms`.
template <typename Settings>
class SettingsSchema {
 public:
  SettingsSchema& Text(std::string_view name,
                       std::string Settings::*member,
                       TextRule rule,
                       SettingOptions options) {
    return Add(
        name, std::string(rule.allowed), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          ReadText(location, rule, settings.*member);
        },
        [=](const Settings& settings) { return MakeNode(settings.*member); });
  }

  template <typename Number>
  SettingsSchema& Integer(std::string_view name,
                          Number Settings::*member,
                          SettingRange range,
                          SettingOptions options) {
    return Add(
        name, DescribeRange("integer", range), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          auto value = static_cast<std::int64_t>(settings.*member);
          ReadInteger(location, range, value);
          settings.*member = static_cast<Number>(value);
        },
        [=](const Settings& settings) {
          return MakeNode(static_cast<std::int64_t>(settings.*member));
        });
  }

  SettingsSchema& Milliseconds(std::string_view name,
                               Duration Settings::*member,
                               SettingRange range,
                               SettingOptions options) {
    return Add(
        name, DescribeRange("milliseconds", range), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          std::int64_t value = ToMilliseconds(settings.*member);
          ReadInteger(location, range, value);
          settings.*member = std::chrono::milliseconds(value);
        },
        [=](const Settings& settings) {
          return MakeNode(ToMilliseconds(settings.*member));
        });
  }

  /// A duration with a unit in the file, such as "1500ms" or "2.5s".
  /// @param range in milliseconds.
  SettingsSchema& DurationText(std::string_view name,
                               Duration Settings::*member,
                               SettingRange range,
                               SettingOptions options) {
    return Add(
        name, DescribeRange("duration with unit, milliseconds", range),
        std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          ReadDuration(location, range, settings.*member);
        },
        [=](const Settings& settings) {
          return MakeNode(FormatDuration(settings.*member));
        });
  }

  SettingsSchema& Real(std::string_view name,
                       double Settings::*member,
                       RealRange range,
                       SettingOptions options) {
    return Add(
        name, DescribeRange(range), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          ReadReal(location, range, settings.*member);
        },
        [=](const Settings& settings) { return MakeNode(settings.*member); });
  }

  SettingsSchema& Flag(std::string_view name,
                       bool Settings::*member,
                       SettingOptions options) {
    return Add(
        name, "true or false", std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          ReadFlag(location, settings.*member);
        },
        [=](const Settings& settings) { return MakeNode(settings.*member); });
  }

  /// @param choices names of the enumerators, in their order; must have static
  /// storage duration.
  template <typename Enum>
  SettingsSchema& Choice(std::string_view name,
                         Enum Settings::*member,
                         std::span<const std::string_view> choices,
                         SettingOptions options) {
    return Add(
        name, DescribeChoices(choices), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          const std::size_t index = ReadChoice(location, choices);
          if (index < choices.size()) {
            settings.*member = static_cast<Enum>(index);
          }
        },
        [=](const Settings& settings) {
          const auto index = static_cast<std::size_t>(settings.*member);
          return MakeNode(std::string{choices[index]});
        });
  }

  SettingsSchema& TextList(std::string_view name,
                           std::vector<std::string> Settings::*member,
                           TextRule rule,
                           SettingOptions options,
                           ListSize size = {}) {
    return Add(
        name, "list of: " + std::string(rule.allowed), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          auto& list = settings.*member;
          list.clear();
          ReadList(location, size, [&](const SettingLocation& item) {
            ReadText(item, rule, list.emplace_back());
          });
        },
        [=](const Settings& settings) {
          YAML::Node list(YAML::NodeType::Sequence);
          for (const std::string& item : settings.*member) {
            list.push_back(item);
          }
          return list;
        });
  }

  template <typename Member>
  SettingsSchema& Group(std::string_view name,
                        Member Settings::*member,
                        const SettingsSchema<Member>& schema,
                        SettingOptions options) {
    const std::vector<SettingField>& fields = schema.Fields();
    Add(
        name, "mapping", std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          ReadMapping(fields, &(settings.*member), location);
        },
        [=](const Settings& settings) {
          return WriteMapping(fields, &(settings.*member));
        });
    fields_.back().children = fields;
    return *this;
  }

  template <typename Item>
  SettingsSchema& List(std::string_view name,
                       std::vector<Item> Settings::*member,
                       const SettingsSchema<Item>& schema,
                       SettingOptions options) {
    const std::vector<SettingField>& fields = schema.Fields();
    Add(
        name, std::string(kListOfMappings), std::move(options),
        [=](Settings& settings, const SettingLocation& location) {
          auto& list = settings.*member;
          list.clear();
          ReadList(location, {}, [&](const SettingLocation& item) {
            ReadMapping(fields, &list.emplace_back(), item);
          });
        },
        [=](const Settings& settings) {
          YAML::Node list(YAML::NodeType::Sequence);
          for (const Item& item : settings.*member) {
            list.push_back(WriteMapping(fields, &item));
          }
          return list;
        });
    fields_.back().children = fields;
    return *this;
  }

  [[nodiscard]] const std::vector<SettingField>& Fields() const {
    return fields_;
  }

 private:
  template <typename Value>
  static YAML::Node MakeNode(const Value& value) {
    YAML::Node node;
    node = value;
    return node;
  }

  template <typename Read, typename Write>
  SettingsSchema& Add(std::string_view name,
                      std::string type,
                      SettingOptions options,
                      Read read,
                      Write write) {
    SettingField field{.name = std::string(name),
                       .type = std::move(type),
                       .options = std::move(options)};
    field.read = [read](void* settings, const SettingLocation& location) {
      read(*static_cast<Settings*>(settings), location);
    };
    field.write = [write](const void* settings) {
      return write(*static_cast<const Settings*>(settings));
    };
    fields_.push_back(std::move(field));
    return *this;
  }

  std::vector<SettingField> fields_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_SCHEMA_H_
