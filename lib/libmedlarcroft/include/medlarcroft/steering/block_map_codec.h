#ifndef MEDLARCROFT_STEERING_BLOCK_MAP_CODEC_H_
#define MEDLARCROFT_STEERING_BLOCK_MAP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/result.h"
#include "medlarcroft/steering/block_map.h"

namespace medlarcroft::steering {

/// @brief Why an object was rejected: it is not a valid block map, or not a
/// valid successor of the current one.
enum class BlockMapError {
  kTruncated,        ///< The object ends before its contents do.
  kTooLarge,         ///< Larger than any map that the memory budget allows.
  kWrongMagic,       ///< Not a block map, or an unknown format.
  kWrongChecksum,    ///< Corrupted in transit or in storage.
  kMalformedHeader,  ///< The header is not JSON of the expected structure.
  kTooManySites,
  kTooManyBlocks,
  kUnknownDomain,   ///< A site refers to a failure domain that is not listed.
  kUnknownSite,     ///< A block refers to a site that is not listed.
  kMalformedBlock,  ///< Length out of range, host bits set, or not sorted.
  kTrailingBytes,
  kNotFull,    ///< A delta where a full map is required.
  kNotDelta,   ///< A full map where a delta is required.
  kWrongBase,  ///< The delta applies to another version than the current one.
  kNotNewer,   ///< The version is not above the current one.
  kUnknownBlock,  ///< The delta removes a block that the base lacks.
};

[[nodiscard]] std::string_view ToString(BlockMapError error);

/// @brief Limits on an object: above the planned size with room for growth,
/// below a size that would take memory from the rest of the control plane.
inline constexpr std::size_t kMaxBlocks = 4'000'000;
inline constexpr std::size_t kMaxSites = 4096;
inline constexpr std::size_t kMaxBlockMapBytes = 48 * 1024 * 1024;

/// Value of a block that a delta removes.
inline constexpr std::uint16_t kRemovedBlock = 0xFFFF;

/// @brief Contents of an object to encode. Blocks are sorted by start, then by
/// length; their values are indices into `sites`.
struct BlockMapContent {
  std::uint64_t version = 0;
  std::vector<Site> sites;
  std::vector<Prefix<std::uint32_t>> ipv4;
  std::vector<Prefix<std::uint64_t>> ipv6;
};

/// @return an encoded full map, with every block.
[[nodiscard]] std::string EncodeBlockMap(const BlockMapContent& content);

/// @return an encoded delta: the blocks that changed since `base_version`,
/// where the value `kRemovedBlock` removes a block. The list of sites is
/// complete, and its indices also apply to unchanged blocks, so sites may only
/// be appended.
[[nodiscard]] std::string EncodeBlockMapDelta(const BlockMapContent& changes,
                                              std::uint64_t base_version);

/// @brief Decodes a full map. No memory is allocated for a count that the size
/// of the object does not confirm.
[[nodiscard]] Result<BlockMap, BlockMapError> DecodeBlockMap(
    std::string_view object);

/// @brief Creates the next version from `base` and a delta. `base` is not
/// modified, because readers may still use it.
[[nodiscard]] Result<BlockMap, BlockMapError> ApplyBlockMapDelta(
    const BlockMap& base,
    std::string_view object);

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_BLOCK_MAP_CODEC_H_
