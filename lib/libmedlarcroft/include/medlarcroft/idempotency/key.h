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

/// @brief How a key is guarded; fixed when it is issued.
enum class Mode {
  kLocal,    ///< Only the issuing incarnation may dispatch it.
  kDurable,  ///< Whoever inserts the claim row may dispatch it.
};

/// @brief What distinguishes one key from all others.
struct KeyId {
  HostName issuer;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const KeyId&, const KeyId&) = default;
};

/// @brief Truncated HMAC-SHA256: 128 bits.
inline constexpr std::size_t kMacBytes = 16;
using Mac = std::array<std::uint8_t, kMacBytes>;

/// @brief One idempotency key. Only `KeyAuthority` makes a valid one.
struct Key {
  KeyId id;
  Mode mode = Mode::kLocal;
  WallTime expiry;  ///< Whole milliseconds.
  Mac mac{};

  friend bool operator==(const Key&, const Key&) = default;
};

/// @brief Longest text form that is read or written, in bytes.
inline constexpr std::size_t kMaxKeyText = 192;
/// @brief Longest issuer name in a key, in bytes.
inline constexpr std::size_t kMaxIssuerName = 64;

/// @brief Why a text is not a key.
enum class KeyParseError {
  kTooLong,
  kMalformed,       ///< Not seven fields, or a field is not of its form.
  kUnknownVersion,  ///< A key of a later format.
};

/// @return whether `name` can stand in a key: 1 to `kMaxIssuerName` of letters,
/// digits, '-', '_' and '.'.
[[nodiscard]] bool IsIssuerName(std::string_view name);

/// @return the part of the text form that the MAC covers.
[[nodiscard]] std::string UnsignedText(const Key& key);

/// @return the value of the `Idempotency-Key` header:
/// `k1:MODE:ISSUER:INCARNATION:SEQUENCE:EXPIRY_MS:MAC`, numbers in
/// hexadecimal.
[[nodiscard]] std::string FormatKey(const Key& key);

/// @brief Reads the text form. The MAC is not checked here.
[[nodiscard]] Result<Key, KeyParseError> ParseKey(std::string_view text);

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_KEY_H_
