#include "medlarcroft/idempotency/key.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <vector>

namespace medlarcroft::idempotency {

namespace {

constexpr std::string_view kVersion = "k1";
constexpr char kSeparator = ':';
constexpr std::size_t kFieldCount = 7;
constexpr int kHexadecimal = 16;
constexpr std::size_t kHexDigitsPerByte = 2;

bool IsIssuerCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

std::string ToHex(std::uint64_t number) {
  std::array<char, 16> digits{};
  const auto written = std::to_chars(
      digits.data(), digits.data() + digits.size(), number, kHexadecimal);
  return {digits.data(), written.ptr};
}

/// Accepts only the spelling that `ToHex` writes, so that each key has exactly
/// one text form.
template <typename Number>
std::optional<Number> FromHex(std::string_view text) {
  Number number = 0;
  const char* const end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, number, kHexadecimal);
  const bool is_canonical = !text.empty() && text.front() != '-' &&
                            (text.size() == 1 || text.front() != '0') &&
                            std::ranges::none_of(text, [](char digit) {
                              return digit >= 'A' && digit <= 'F';
                            });
  if (read.ec != std::errc() || read.ptr != end || !is_canonical) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string_view> SplitFields(std::string_view text) {
  std::vector<std::string_view> fields;
  while (true) {
    const std::size_t separator = text.find(kSeparator);
    fields.push_back(text.substr(0, separator));
    if (separator == std::string_view::npos) {
      return fields;
    }
    text.remove_prefix(separator + 1);
  }
}

std::optional<Mode> ParseMode(std::string_view text) {
  if (text == "l") {
    return Mode::kLocal;
  }
  return text == "d" ? std::optional(Mode::kDurable) : std::nullopt;
}

std::string FormatMac(const Mac& mac) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(mac.size() * kHexDigitsPerByte);
  for (const std::uint8_t byte : mac) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xFU]);
  }
  return text;
}

std::optional<unsigned> HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  return std::nullopt;
}

std::optional<Mac> ParseMac(std::string_view text) {
  if (text.size() != kMacBytes * kHexDigitsPerByte) {
    return std::nullopt;
  }
  Mac mac{};
  for (std::size_t i = 0; i < kMacBytes; ++i) {
    const auto high = HexDigit(text[i * kHexDigitsPerByte]);
    const auto low = HexDigit(text[(i * kHexDigitsPerByte) + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    mac[i] = static_cast<std::uint8_t>((*high << 4U) | *low);
  }
  return mac;
}

}  // namespace

bool IsValidIssuerName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxIssuerName &&
         std::ranges::all_of(name, IsIssuerCharacter);
}

std::string SignedKeyText(const Key& key) {
  std::string text(kVersion);
  text += key.mode == Mode::kDurable ? ":d:" : ":l:";
  text += key.id.issuer.Value();
  text += kSeparator + ToHex(key.id.incarnation);
  text += kSeparator + ToHex(key.id.sequence);
  text += kSeparator + ToHex(static_cast<std::uint64_t>(
                           ToMilliseconds(key.expiry.time_since_epoch())));
  return text;
}

std::string FormatKey(const Key& key) {
  return SignedKeyText(key) + kSeparator + FormatMac(key.mac);
}

Result<Key, KeyParseError> ParseKey(std::string_view text) {
  if (text.size() > kMaxKeyText) {
    return KeyParseError::kTooLong;
  }
  const std::vector<std::string_view> fields = SplitFields(text);
  if (fields.size() > 1 && fields.front() != kVersion &&
      fields.front().starts_with('k')) {
    return KeyParseError::kUnknownVersion;
  }
  if (fields.size() != kFieldCount || fields.front() != kVersion) {
    return KeyParseError::kMalformed;
  }
  // Bounds the expiry so that it fits the nanoseconds of `WallTime`.
  constexpr std::int64_t kMaxExpiryMs = INT64_MAX / 1'000'000;
  const auto mode = ParseMode(fields[1]);
  const auto incarnation = FromHex<std::uint64_t>(fields[3]);
  const auto sequence = FromHex<std::uint64_t>(fields[4]);
  const auto expiry_ms = FromHex<std::int64_t>(fields[5]);
  const auto mac = ParseMac(fields[6]);
  if (!mode || !IsValidIssuerName(fields[2]) || !incarnation || !sequence ||
      !expiry_ms || *expiry_ms > kMaxExpiryMs || !mac) {
    return KeyParseError::kMalformed;
  }
  return Key{.id = {.issuer = HostName(fields[2]),
                    .incarnation = *incarnation,
                    .sequence = *sequence},
             .mode = *mode,
             .expiry = WallTime(std::chrono::milliseconds(*expiry_ms)),
             .mac = *mac};
}

}  // namespace medlarcroft::idempotency
