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

/// @brief What a setting says of itself, for checks and for the reference page.
struct SettingOptions {
  std::string description;
  bool is_required = false;
  bool is_reloadable = false;  ///< SIGHUP takes a new value.
  bool is_secret = false;      ///< Never printed.
};

/// @brief Bounds of a number, both allowed.
struct SettingRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

/// @brief How many items a list may have.
struct ListSize {
  std::size_t least = 0;
  std::size_t most = 1024;
};

/// @brief Bounds of a number with a fraction, both allowed.
struct RealRange {
  double minimum = 0;
  double maximum = 1;
};

/// The type of a list whose items have fields of their own.
constexpr std::string_view kListOfMappings = "list of mappings";

/// @brief The form a text must have.
struct TextRule {
  bool (*is_allowed)(std::string_view text);
  std::string_view allowed;  ///< For people.
};

/// @brief Gathers the faults of one file.
class SettingsFaultSink {
 public:
  explicit SettingsFaultSink(std::string_view file) : file_(file) {}

  void Add(SettingsErrorCode code,
           const YAML::Node& node,
           std::string_view field,
           std::string_view allowed);
  [[nodiscard]] SettingsErrors Take() { return std::move(faults_); }

 private:
  std::string file_;
  SettingsErrors faults_;
};

/// @brief Where a value stands: for messages.
struct SettingPlace {
  const YAML::Node& node;
  std::string_view path;
  SettingsFaultSink& sink;
};

/// @brief One setting of a schema, with its owner's type erased: `settings`
/// points to the structure that the schema was made for.
struct SettingField {
  std::string name;
  std::string type;  ///< For people: "integer, 1 to 64".
  SettingOptions options;
  /// The members of a group, or of the items of a list.
  std::vector<SettingField> children;
  std::function<void(void* settings, const SettingPlace& place)> read;
  std::function<YAML::Node(const void* settings)> write;
};

/// @brief Reads a mapping into `settings`; every key must be a field's.
void ReadMapping(std::span<const SettingField> fields,
                 void* settings,
                 const SettingPlace& place);

/// @return the mapping of all fields, secrets masked.
[[nodiscard]] YAML::Node WriteMapping(std::span<const SettingField> fields,
                                      const void* settings);

// Readers of single values. Each reports a fault and leaves `value` alone when
// it can't take what stands there.
void ReadText(const SettingPlace& place, TextRule rule, std::string& value);
void ReadInteger(const SettingPlace& place,
                 SettingRange range,
                 std::int64_t& value);
/// @param range in milliseconds.
void ReadDuration(const SettingPlace& place,
                  SettingRange range,
                  Duration& value);
void ReadReal(const SettingPlace& place, RealRange range, double& value);
void ReadFlag(const SettingPlace& place, bool& value);
/// @return the index of the choice, or the number of choices for a fault.
[[nodiscard]] std::size_t ReadChoice(const SettingPlace& place,
                                     std::span<const std::string_view> choices);
/// @brief Calls `read_item` with the place of each item of a list.
void ReadList(const SettingPlace& place,
              ListSize size,
              const std::function<void(const SettingPlace&)>& read_item);

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
