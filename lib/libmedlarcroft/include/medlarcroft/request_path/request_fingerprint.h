#ifndef MEDLARCROFT_REQUEST_PATH_REQUEST_FINGERPRINT_H_
#define MEDLARCROFT_REQUEST_PATH_REQUEST_FINGERPRINT_H_

#include <xxhash.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string_view>

namespace medlarcroft::request_path {

/// @brief Identifies a request by a 64-bit hash of its content. The hash is the
/// same on every host and independent of the request id.
class RequestFingerprint {
 public:
  /// Constructs the empty fingerprint, which stands for no request.
  RequestFingerprint() = default;
  /// @param parts the content that identifies a request, in a fixed order.
  [[nodiscard]] static RequestFingerprint Of(
      std::initializer_list<std::string_view> parts) {
    std::uint64_t hash = 0;
    for (const std::string_view part : parts) {
      hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    }
    // 0 is reserved for the empty fingerprint.
    return FromValue(hash | 1U);
  }
  [[nodiscard]] static RequestFingerprint FromValue(std::uint64_t value) {
    RequestFingerprint fingerprint;
    fingerprint.value_ = value;
    return fingerprint;
  }

  [[nodiscard]] std::uint64_t Value() const { return value_; }
  [[nodiscard]] bool IsEmpty() const { return value_ == 0; }

  friend auto operator<=>(const RequestFingerprint&,
                          const RequestFingerprint&) = default;

 private:
  std::uint64_t value_ = 0;
};

}  // namespace medlarcroft::request_path

template <>
struct std::hash<medlarcroft::request_path::RequestFingerprint> {
  std::size_t operator()(medlarcroft::request_path::RequestFingerprint
                             fingerprint) const noexcept {
    return fingerprint.Value();
  }
};

#endif  // MEDLARCROFT_REQUEST_PATH_REQUEST_FINGERPRINT_H_
