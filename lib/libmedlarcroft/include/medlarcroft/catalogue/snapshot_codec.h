#ifndef MEDLARCROFT_CATALOGUE_SNAPSHOT_CODEC_H_
#define MEDLARCROFT_CATALOGUE_SNAPSHOT_CODEC_H_

#include <string>
#include <string_view>

#include "medlarcroft/catalogue/delta.h"
#include "medlarcroft/core/result.h"

namespace medlarcroft::catalogue {

/// @brief Reasons why a snapshot cannot be decoded.
enum class SnapshotFault {
  kUnknownFormat,
  kBadChecksum,  ///< Truncated or modified.
  kBadContent,
};

/// @brief Serializes a snapshot: one header line with format and checksum,
/// followed by JSON. The checksum (64-bit XXH3) detects corruption but is no
/// protection against tampering; the object store is trusted with the catalogue
/// anyway.
[[nodiscard]] std::string EncodeSnapshot(const Delta& snapshot);

[[nodiscard]] Result<Delta, SnapshotFault> DecodeSnapshot(
    std::string_view bytes);

/// @return XXH3 of `bytes` as 16 hexadecimal digits.
[[nodiscard]] std::string ChecksumOf(std::string_view bytes);

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_SNAPSHOT_CODEC_H_
