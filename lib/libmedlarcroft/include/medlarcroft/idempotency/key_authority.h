#ifndef MEDLARCROFT_IDEMPOTENCY_KEY_AUTHORITY_H_
#define MEDLARCROFT_IDEMPOTENCY_KEY_AUTHORITY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "medlarcroft/idempotency/key.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::idempotency {

/// @brief Minimum length of a secret, in bytes.
inline constexpr std::size_t kMinSecretBytes = 16;

/// @brief MAC secrets, the same on all hosts. One signs new keys and both are
/// accepted, so that hosts can rotate secrets one after the other.
struct KeySecrets {
  std::string issuing;
  std::optional<std::string> also_accepted;
};

/// @brief Why secrets were rejected.
enum class KeySecretsError { kTooShort, kIdenticalSecrets };

/// @brief Why a parsed key was rejected.
enum class KeyRefusal {
  kForged,   ///< The MAC matches no accepted secret.
  kExpired,  ///< It may have run, and its record may have been removed.
};

struct KeyAuthorityOptions {
  HostName host;  ///< Must satisfy `IsValidIssuerName`.
  std::uint64_t incarnation = 0;
  /// How long a key may be used; a ledger entry lives equally long. Long enough
  /// for a caller's retries across a pause of its own, short enough that the
  /// ledger does not reach its bound at peak load.
  Duration lifetime = std::chrono::minutes(10);
};

/// @brief Issues this incarnation's keys and verifies those of all hosts. The
/// MAC prevents callers from naming keys that were never issued, which could
/// make one host answer for another host's work. Not thread-safe.
class KeyAuthority {
 public:
  KeyAuthority(KeyAuthorityOptions options,
               KeySecrets secrets,
               const ports::Clock& clock);

  [[nodiscard]] Key Issue(Mode mode);

  /// @return the reason to reject `key`, or nullopt when it is valid.
  [[nodiscard]] std::optional<KeyRefusal> FindRefusal(const Key& key) const;

  /// @brief Replaces the secrets; on an error the old ones remain.
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
