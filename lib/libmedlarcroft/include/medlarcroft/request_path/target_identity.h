#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_IDENTITY_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_IDENTITY_H_

#include <xxhash.h>

#include <compare>
#include <cstdint>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::request_path {

/// @brief Tells the processes of one target apart: a later start has a higher
/// number.
using TargetIncarnation = std::uint64_t;

/// The target does not tell when it started.
inline constexpr TargetIncarnation kUnknownIncarnation = 0;

/// @brief One process of a target. A target that starts again under its name
/// holds nothing of before, so whatever is believed, sent or told of it names
/// the process and not the target alone.
struct TargetIdentity {
  TargetName name;
  TargetIncarnation incarnation = kUnknownIncarnation;

  friend auto operator<=>(const TargetIdentity&,
                          const TargetIdentity&) = default;
};

/// @brief Names a target's process in four bytes, the same on every host.
enum class TargetNumber : std::uint32_t {};

[[nodiscard]] inline TargetNumber NumberOf(const TargetIdentity& target) {
  return TargetNumber{static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(target.name.Value().data(),
                           target.name.Value().size(), target.incarnation))};
}

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_IDENTITY_H_
