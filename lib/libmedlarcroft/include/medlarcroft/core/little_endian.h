#ifndef MEDLARCROFT_CORE_LITTLE_ENDIAN_H_
#define MEDLARCROFT_CORE_LITTLE_ENDIAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace medlarcroft {

/// @brief Appends the lowest `bytes` bytes of a number in little-endian order.
inline void AppendLittleEndian(std::string& text,
                               std::uint32_t number,
                               std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) {
    text.push_back(static_cast<char>((number >> (8 * i)) & 0xFFU));
  }
}

/// @brief Reads a little-endian number of `count` bytes and removes them from
/// the front of `bytes`.
/// @param bytes must hold at least `count` bytes.
[[nodiscard]] inline std::uint32_t TakeLittleEndian(std::string_view& bytes,
                                                    std::size_t count) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < count; ++i) {
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]))
              << (8 * i);
  }
  bytes.remove_prefix(count);
  return number;
}

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_LITTLE_ENDIAN_H_
