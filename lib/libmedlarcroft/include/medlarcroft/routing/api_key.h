#ifndef MEDLARCROFT_ROUTING_API_KEY_H_
#define MEDLARCROFT_ROUTING_API_KEY_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <functional>
#include <string_view>

namespace medlarcroft::routing {

/// @brief Digest of a client account's API key, a truncated SHA-256. Keys are
/// secrets: only their digests are kept, so that neither a log line nor a
/// memory dump of this type reveals a key.
class ApiKeyDigest {
 public:
  /// Size in bytes. A second key with the same digest takes 2^128 attempts.
  static constexpr std::size_t kSize = 16;

  [[nodiscard]] static ApiKeyDigest Of(std::string_view key);

  [[nodiscard]] std::string_view Bytes() const {
    return {reinterpret_cast<const char*>(bytes_.data()), bytes_.size()};
  }

  friend auto operator<=>(const ApiKeyDigest&, const ApiKeyDigest&) = default;

 private:
  std::array<std::uint8_t, kSize> bytes_{};
};

}  // namespace medlarcroft::routing

template <>
struct std::hash<medlarcroft::routing::ApiKeyDigest> {
  std::size_t operator()(
      const medlarcroft::routing::ApiKeyDigest& digest) const noexcept {
    std::size_t value = 0;
    std::memcpy(&value, digest.Bytes().data(), sizeof(value));
    return value;
  }
};

#endif  // MEDLARCROFT_ROUTING_API_KEY_H_
