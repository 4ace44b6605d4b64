#include "medlarcroft/load_generator/body_hash.h"

#include <xxhash.h>

#include <array>
#include <cstdint>

namespace medlarcroft::load_generator {

std::string HashBody(std::string_view body) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::uint64_t hash = XXH3_64bits(body.data(), body.size());
  std::array<char, 16> text{};
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = kDigits[hash & 0xFU];
    hash >>= 4U;
  }
  return {text.begin(), text.end()};
}

}  // namespace medlarcroft::load_generator
