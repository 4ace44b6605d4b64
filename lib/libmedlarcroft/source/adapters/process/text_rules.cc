#include "adapters/process/text_rules.h"

#include <arpa/inet.h>

#include <algorithm>

#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxPathLength = 4096;
constexpr std::uint32_t kIpv4LoopbackPrefix = 127;

bool IsInRange(char character, char first, char last) {
  return character >= first && character <= last;
}

bool IsNameCharacter(char character) {
  return IsInRange(character, 'a', 'z') || IsInRange(character, 'A', 'Z') ||
         IsInRange(character, '0', '9') || character == '.' ||
         character == '_' || character == '-';
}

bool IsHexDigit(char character) {
  return IsInRange(character, '0', '9') || IsInRange(character, 'a', 'f') ||
         IsInRange(character, 'A', 'F');
}

bool IsPrintable(char character) {
  return IsInRange(character, '!', '~');
}

bool IsLengthWithin(std::string_view text,
                    std::size_t minimum,
                    std::size_t maximum) {
  return text.size() >= minimum && text.size() <= maximum;
}

}  // namespace

bool IsSettingName(std::string_view text) {
  return IsLengthWithin(text, 1, kMaxNameLength) &&
         std::all_of(text.begin(), text.end(), &IsNameCharacter);
}

bool IsAddressText(std::string_view text) {
  return ParseSocketAddress(text).has_value();
}

bool IsLoopbackAddressText(std::string_view text) {
  const auto address = ParseSocketAddress(text);
  if (!address) {
    return false;
  }
  if (address->IsIpv6()) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address->Get());
    return IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
  }
  const auto* v4 = reinterpret_cast<const sockaddr_in*>(address->Get());
  return ntohl(v4->sin_addr.s_addr) >> 24U == kIpv4LoopbackPrefix;
}

bool IsHttpUrl(std::string_view text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (text.starts_with(scheme)) {
      return IsAddressText(text.substr(scheme.size()));
    }
  }
  return false;
}

bool IsFilePath(std::string_view text) {
  return IsLengthWithin(text, 1, kMaxPathLength) &&
         text.find('\0') == std::string_view::npos;
}

bool IsSecretText(std::string_view text) {
  return IsLengthWithin(text, 8, 512) &&
         std::all_of(text.begin(), text.end(), &IsPrintable);
}

bool IsHexSecret(std::string_view text) {
  return IsLengthWithin(text, 32, 128) && text.size() % 2 == 0 &&
         std::all_of(text.begin(), text.end(), &IsHexDigit);
}

}  // namespace medlarcroft::adapters
