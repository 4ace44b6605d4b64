#ifndef MEDLARCROFT_IDEMPOTENCY_FINGERPRINT_H_
#define MEDLARCROFT_IDEMPOTENCY_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string_view>

namespace medlarcroft::idempotency {

/// @brief 128-bit hash that tells two requests under one key apart. It guards a
/// caller against its own mistake, not against an attacker: who can forge one
/// only replays an answer to itself.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

/// @brief What makes two requests the same.
struct RequestIdentity {
  std::string_view brand;
  std::string_view method;
  std::string_view service_path;
  std::string_view body;
};

[[nodiscard]] Fingerprint ComputeFingerprint(const RequestIdentity& request);

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_FINGERPRINT_H_
