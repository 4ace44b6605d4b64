#ifndef MEDLARCROFT_STEERING_BLOCK_MAP_FORMAT_H_
#define MEDLARCROFT_STEERING_BLOCK_MAP_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "medlarcroft/steering/block_map_codec.h"

namespace medlarcroft::steering::block_map_format {

// An object consists of: magic, header length (4 bytes), header (JSON:
// versions, sites, counts), IPv4 blocks, IPv6 blocks, XXH3 hash of everything
// before it (8 bytes). Numbers are little-endian. Blocks are records of fixed
// size: a general serialisation format needs more bytes for names and lengths
// than the 7 or 11 bytes of a block.
inline constexpr std::string_view kMagic = "MDLRBM01";
inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kChecksumBytes = 8;
inline constexpr std::size_t kMaxHeaderBytes = 1024 * 1024;
inline constexpr std::size_t kMaxDomainsPerSite = 64;

template <typename Key>
inline constexpr std::size_t kRecordBytes = sizeof(Key) + sizeof(std::uint8_t) +
                                            sizeof(std::uint16_t);

/// @brief Contents of an object's header.
struct Header {
  std::uint64_t version = 0;
  std::optional<std::uint64_t> base_version;  // Only in a delta.
  std::vector<Site> sites;
  std::uint64_t ipv4 = 0;
  std::uint64_t ipv6 = 0;
};

/// @brief An object whose envelope and header are valid; its blocks are not
/// decoded yet.
struct ParsedObject {
  Header header;
  std::string_view ipv4;  // Encoded records.
  std::string_view ipv6;
};

template <typename Number>
Number ReadNumber(std::string_view bytes) {
  Number number = 0;
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[byte]))
              << (8U * byte);
  }
  return number;
}

template <typename Key>
Prefix<Key> ReadBlock(std::string_view records, std::size_t index) {
  const std::string_view record =
      records.substr(index * kRecordBytes<Key>, kRecordBytes<Key>);
  return {.start = ReadNumber<Key>(record),
          .length = ReadNumber<std::uint8_t>(record.substr(sizeof(Key))),
          .value = ReadNumber<std::uint16_t>(record.substr(sizeof(Key) + 1))};
}

/// @brief Checks the size, magic, checksum and header, and that the records
/// fill the object exactly.
[[nodiscard]] Result<ParsedObject, BlockMapError> ParseObject(
    std::string_view object);

}  // namespace medlarcroft::steering::block_map_format

#endif  // MEDLARCROFT_STEERING_BLOCK_MAP_FORMAT_H_
