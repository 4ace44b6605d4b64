#ifndef MEDLARCROFT_TELEMETRY_LABEL_H_
#define MEDLARCROFT_TELEMETRY_LABEL_H_

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::telemetry {

/// @brief One label of a metric. It is constructed only from typed names or
/// constants in the code, so that requests cannot create arbitrary label
/// values.
class Label {
 public:
  // Implicit, so that a list of names can be passed as a list of labels.
  // NOLINTBEGIN(google-explicit-constructor)
  Label(const ServiceName& name) : Label("service", name.Value()) {}
  Label(const BrandName& name) : Label("brand", name.Value()) {}
  Label(const TargetName& name) : Label("target", name.Value()) {}
  Label(const HostName& name) : Label("host", name.Value()) {}
  Label(const FailureDomainName& name)
      : Label("failure_domain", name.Value()) {}
  Label(const RegionName& name) : Label("region", name.Value()) {}
  // NOLINTEND(google-explicit-constructor)

  /// @param name, value constants in the code, e.g. "outcome", "ran".
  static Label OfConstant(std::string_view name, std::string_view value) {
    return {name, value};
  }

  /// @param role label name, a constant in the code, for series with two
  /// failure domains, e.g. "from" and "to".
  static Label OfDomain(std::string_view role, const FailureDomainName& name) {
    return {role, name.Value()};
  }

  [[nodiscard]] const std::string& Name() const { return name_; }
  [[nodiscard]] const std::string& Value() const { return value_; }

  friend auto operator<=>(const Label&, const Label&) = default;

 private:
  Label(std::string_view name, std::string_view value)
      : name_(name), value_(value) {}

  std::string name_;
  std::string value_;
};

using Labels = std::vector<Label>;

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_LABEL_H_
