#ifndef MEDLARCROFT_IDEMPOTENCY_KEY_H_
#define MEDLARCROFT_IDEMPOTENCY_KEY_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::idempotency {

/// @brief How duplicates of a key are prevented; fixed when it is issued.
enum class Mode {
  kLocal,    ///< Only the issuing incarnation may dispatch it.
  kDurable,  ///< The process that inserts the claim row may dispatch it.
};

/// @brief Unique identifier of a key.
struct KeyId {
  HostName issuer;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const KeyId&, const KeyId&) = default;
};

/// @brief Size of the truncated HMAC-SHA256: 128 bits.
inline constexpr std::size_t kMacBytes = 16;
using Mac = std::array<std::uint8_t, kMacBytes>;

/// @brief One idempotency key. Only `KeyAuthority` creates valid ones.
struct Key {
  KeyId id;
  Mode mode = Mode::kLocal;
  WallTime expiry;  ///< In whole milliseconds.
  Mac mac{};

  friend bool operator==(const Key&, const Key&) = default;
};

/// @brief Maximum length of the text form, in bytes.
inline constexpr std::size_t kMaxKeyText = 192;
/// @brief Maximum length of an issuer name in a key, in bytes.
inline constexpr std::size_t kMaxIssuerName = 64;

/// @brief Why a text is not a valid key.
enum class KeyParseError {
  kTooLong,
  kMalformed,       ///< Not seven fields, or a field has the wrong format.
  kUnknownVersion,  ///< A key of a later format version.
};

/// @return whether `name` is allowed in a key: 1 to `kMaxIssuerName` letters,
/// digits, '-', '_' and '.'.
[[nodiscard]] bool IsValidIssuerName(std::string_view name);

/// @return the part of the text form that the MAC covers.
[[nodiscard]] std::string SignedKeyText(const Key& key);

/// @return the value of the `Idempotency-Key` header:
/// `k1:MODE:ISSUER:INCARNATION:SEQUENCE:EXPIRY_MS:MAC`, with numbers in
/// hexadecimal.
[[nodiscard]] std::string FormatKey(const Key& key);

/// @brief Parses the text form without checking the MAC.
[[nodiscard]] Result<Key, KeyParseError> ParseKey(std::string_view text);

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_KEY_H_
