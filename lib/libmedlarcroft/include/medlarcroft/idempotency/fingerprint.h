#ifndef MEDLARCROFT_IDEMPOTENCY_FINGERPRINT_H_
#define MEDLARCROFT_IDEMPOTENCY_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string_view>

namespace medlarcroft::idempotency {

/// @brief 128-bit hash that distinguishes two requests under one key. It
/// protects callers from their own mistakes, not from attackers: a caller that
/// forges one only gets an answer of its own replayed.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
};

/// @brief The fields that identify a request.
struct RequestIdentity {
  std::string_view brand;
  std::string_view method;
  std::string_view service_path;
  std::string_view body;
};

[[nodiscard]] Fingerprint ComputeFingerprint(const RequestIdentity& request);

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_FINGERPRINT_H_
