#ifndef MEDLARCROFT_IDEMPOTENCY_KEY_AUTHORITY_H_
#define MEDLARCROFT_IDEMPOTENCY_KEY_AUTHORITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "medlarcroft/idempotency/key.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::idempotency {

/// @brief Shortest secret that is taken, in bytes.
inline constexpr std::size_t kMinSecretBytes = 16;

/// @brief The secrets of the MAC, the same on all hosts. One issues, both are
/// accepted, so that hosts may change over one after the other.
struct KeySecrets {
  std::string issuing;
  std::optional<std::string> also_accepted;
};

/// @brief Why secrets were not taken.
enum class KeySecretsError { kTooShort, kIdenticalSecrets };

/// @brief Why a key that was read is not good.
enum class KeyRefusal {
  kForged,   ///< No accepted secret gives this MAC.
  kExpired,  ///< It may have run; what is known of it may be forgotten.
};

struct KeyAuthorityOptions {
  HostName host;  ///< Must satisfy `IsIssuerName`.
  std::uint64_t incarnation = 0;
  /// How long a key may be used; a ledger entry lives as long. Long enough for
  /// a caller's retries through a pause of its own, short enough that the
  /// ledger's bound is not reached at the peak.
  Duration lifetime = std::chrono::minutes(10);
};

/// @brief Issues this incarnation's keys and verifies those of all hosts. The
/// MAC keeps callers from naming keys that were never issued, which could make
/// one host answer for another's work. Not safe to share between threads.
class KeyAuthority {
 public:
  KeyAuthority(KeyAuthorityOptions options,
               KeySecrets secrets,
               const ports::Clock& clock);

  [[nodiscard]] Key Issue(Mode mode);

  /// @return the reason not to take `key`, or nullopt when it is good.
  [[nodiscard]] std::optional<KeyRefusal> FindRefusal(const Key& key) const;

  /// @brief Takes other secrets; on an error the old ones stay.
  [[nodiscard]] Result<Success, KeySecretsError> Rotate(KeySecrets secrets);

  [[nodiscard]] static std::optional<KeySecretsError> Check(
      const KeySecrets& secrets);

 private:
  [[nodiscard]] bool IsGenuine(const Key& key) const;

  KeyAuthorityOptions options_;
  KeySecrets secrets_;
  const ports::Clock& clock_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_KEY_AUTHORITY_H_
