#ifndef MEDLARCROFT_CORE_IDENTIFIERS_H_
#define MEDLARCROFT_CORE_IDENTIFIERS_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace medlarcroft {

/// @brief A strongly typed name; names of different types do not convert into
/// each other.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : value_(std::move(value)) {}
  explicit Identifier(std::string_view value) : value_(value) {}
  explicit Identifier(const char* value) : value_(value) {}

  [[nodiscard]] const std::string& Value() const { return value_; }
  [[nodiscard]] bool IsEmpty() const { return value_.empty(); }

  friend auto operator<=>(const Identifier&, const Identifier&) = default;
  friend std::ostream& operator<<(std::ostream& out,
                                  const Identifier& identifier) {
    return out << identifier.value_;
  }

 private:
  std::string value_;
};

using HostName = Identifier<struct HostTag>;
using FailureDomainName = Identifier<struct FailureDomainTag>;
using RegionName = Identifier<struct RegionTag>;
using ClientAccountName = Identifier<struct ClientAccountTag>;
using BrandName = Identifier<struct BrandTag>;
using TargetName = Identifier<struct TargetTag>;
using ServiceName = Identifier<struct ServiceTag>;
using OwnerName = Identifier<struct OwnerTag>;
using EntryName = Identifier<struct EntryTag>;

}  // namespace medlarcroft

template <typename Tag>
struct std::hash<medlarcroft::Identifier<Tag>> {
  std::size_t operator()(
      const medlarcroft::Identifier<Tag>& identifier) const noexcept {
    return std::hash<std::string>()(identifier.Value());
  }
};

#endif  // MEDLARCROFT_CORE_IDENTIFIERS_H_
