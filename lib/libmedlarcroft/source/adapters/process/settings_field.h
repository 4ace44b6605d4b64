#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_FIELD_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_FIELD_H_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/process/settings_error.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Properties of a setting, used for checks and for the reference page.
struct SettingOptions {
  std::string description;
  bool is_required = false;
  bool is_reloadable = false;  ///< SIGHUP applies a new value.
  bool is_secret = false;      ///< Never printed.
};

/// @brief Inclusive range of an integer.
struct SettingRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// @brief Allowed number of items of a list, inclusive.
struct ListSize {
  std::size_t minimum = 0;
  std::size_t maximum = 1024;
};

/// @brief Inclusive range of a floating-point number.
struct RealRange {
  double minimum = 0;
  double maximum = 1;
};

/// Type name of a list whose items are mappings with fields of their own.
constexpr std::string_view kListOfMappings = "list of mappings";

/// @brief Validation rule of a text setting.
struct TextRule {
  bool (*is_allowed)(std::string_view text);
  std::string_view allowed;  ///< Description for error messages.
};

/// @brief Collects the errors of one file.
class SettingsErrorCollector {
 public:
  explicit SettingsErrorCollector(std::string_view file) : file_(file) {}

  void Add(SettingsErrorCode code,
           const YAML::Node& node,
           std::string_view field,
           std::string_view allowed);
  [[nodiscard]] SettingsErrors Take() { return std::move(errors_); }

 private:
  std::string file_;
  SettingsErrors errors_;
};

/// @brief A value in the settings document, with its path and the collector
/// that receives its errors.
struct SettingLocation {
  const YAML::Node& node;
  std::string_view path;
  SettingsErrorCollector& errors;
};

/// @brief One setting of a schema. The type of the structure is erased:
/// `settings` points to an instance of the schema's structure.
struct SettingField {
  std::string name;
  std::string type;  ///< Human-readable, such as "integer, 1 to 64".
  SettingOptions options;
  /// The fields of a group, or of each item of a list.
  std::vector<SettingField> children;
  std::function<void(void* settings, const SettingLocation& location)> read;
  std::function<YAML::Node(const void* settings)> write;
};

/// @brief Reads a mapping into `settings`. Unknown and duplicate keys and
/// missing required keys are errors.
void ReadMapping(std::span<const SettingField> fields,
                 void* settings,
                 const SettingLocation& location);

/// @return a mapping of all fields, with secrets masked.
[[nodiscard]] YAML::Node WriteMapping(std::span<const SettingField> fields,
                                      const void* settings);

// Functions that read single values. When the node is not valid, each of them
// reports an error and leaves `value` unchanged.
void ReadText(const SettingLocation& location,
              TextRule rule,
              std::string& value);
void ReadInteger(const SettingLocation& location,
                 SettingRange range,
                 std::int64_t& value);
/// @param range in milliseconds.
void ReadDuration(const SettingLocation& location,
                  SettingRange range,
                  Duration& value);
void ReadReal(const SettingLocation& location, RealRange range, double& value);
void ReadFlag(const SettingLocation& location, bool& value);
/// @return the index of the choice, or the number of choices on error.
[[nodiscard]] std::size_t ReadChoice(const SettingLocation& location,
                                     std::span<const std::string_view> choices);
/// @brief Calls `read_item` with the location of each list item.
void ReadList(const SettingLocation& location,
              ListSize size,
              const std::function<void(const SettingLocation&)>& read_item);

/// @return "integer, 1 to 64".
[[nodiscard]] std::string DescribeRange(std::string_view type,
                                        SettingRange range);
/// @return "number, 0 to 1".
[[nodiscard]] std::string DescribeRange(RealRange range);
/// @return "one of a, b, c".
[[nodiscard]] std::string DescribeChoices(
    std::span<const std::string_view> choices);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SETTINGS_FIELD_H_
