#include "adapters/process/hex.h"

#include <charconv>

namespace medlarcroft::adapters {

std::optional<std::string> DecodeHex(std::string_view text) {
  constexpr int kHexBase = 16;
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(text.size() / 2);
  for (std::size_t i = 0; i < text.size(); i += 2) {
    unsigned char value = 0;
    const char* end = text.data() + i + 2;
    const auto [stop, error] =
        std::from_chars(text.data() + i, end, value, kHexBase);
    if (error != std::errc() || stop != end) {
      return std::nullopt;
    }
    bytes += static_cast<char>(value);
  }
  return bytes;
}

}  // namespace medlarcroft::adapters
