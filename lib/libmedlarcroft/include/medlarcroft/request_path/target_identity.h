#ifndef MEDLARCROFT_REQUEST_PATH_TARGET_IDENTITY_H_
#define MEDLARCROFT_REQUEST_PATH_TARGET_IDENTITY_H_

#include <xxhash.h>

#include <compare>
#include <cstdint>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::request_path {

/// @brief Distinguishes the processes of one target: a later start has a higher
/// number.
using TargetIncarnation = std::uint64_t;

/// The target does not report when it started.
inline constexpr TargetIncarnation kUnknownIncarnation = 0;

/// @brief Identifies one process of a target. A target that restarts under the
/// same name has lost its state, so all estimates, sends and reports refer to
/// the process and not only to the name.
struct TargetIdentity {
  TargetName name;
  TargetIncarnation incarnation = kUnknownIncarnation;

  friend auto operator<=>(const TargetIdentity&,
                          const TargetIdentity&) = default;
};

/// @brief Identifies a target's process by a 32-bit hash, the same on every
/// host.
enum class TargetNumber : std::uint32_t {};

[[nodiscard]] inline TargetNumber NumberOf(const TargetIdentity& target) {
  return TargetNumber{static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(target.name.Value().data(),
                           target.name.Value().size(), target.incarnation))};
}

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_TARGET_IDENTITY_H_
