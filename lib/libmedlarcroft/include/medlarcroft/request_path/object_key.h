#ifndef MEDLARCROFT_REQUEST_PATH_OBJECT_KEY_H_
#define MEDLARCROFT_REQUEST_PATH_OBJECT_KEY_H_

#include <xxhash.h>

#include <compare>
#include <cstdint>
#include <string_view>

namespace medlarcroft::request_path {

/// @brief Identifies an object by a 32-bit hash of its name, the same on every
/// host. When two names collide, a target that has one object is wrongly
/// assumed to have the other, and the request runs cold.
class ObjectKey {
 public:
  ObjectKey() = default;
  /// @param name empty: no object.
  explicit ObjectKey(std::string_view name)
      : value_(name.empty() ? 0 : HashOf(name)) {}
  [[nodiscard]] static ObjectKey FromValue(std::uint32_t value) {
    ObjectKey key;
    key.value_ = value;
    return key;
  }

  [[nodiscard]] std::uint32_t Value() const { return value_; }
  [[nodiscard]] bool IsEmpty() const { return value_ == 0; }

  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;

 private:
  // 0 is reserved for "no object".
  static std::uint32_t HashOf(std::string_view name) {
    return XXH32(name.data(), name.size(), 0) | 1U;
  }

  std::uint32_t value_ = 0;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_OBJECT_KEY_H_
