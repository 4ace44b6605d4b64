#ifndef MEDLARCROFT_CORE_TARGET_REST_H_
#define MEDLARCROFT_CORE_TARGET_REST_H_

#include <algorithm>

#include "medlarcroft/core/time.h"

/// @file
/// @brief How long a host lets a target rest that asks for it, and when callers
/// return that found all targets at rest.

namespace medlarcroft {

/// A longer rest that a target asks for is most likely an error, and would take
/// the target from the host for good.
inline constexpr Duration kMaxTargetRest = std::chrono::minutes(10);

/// @return the longest time by which a host returns later than the target asks
/// for, so that hosts that were told at the same moment don't return together.
[[nodiscard]] constexpr Duration ReturnSpread(Duration rest) {
  constexpr int kDivisor = 4;
  constexpr Duration kMin = std::chrono::milliseconds(100);
  constexpr Duration kMax = std::chrono::seconds(2);
  return std::clamp<Duration>(rest / kDivisor, kMin, kMax);
}

/// @param rest until the first target has rested.
/// @return the longest time by which a caller returns later than that.
[[nodiscard]] constexpr Duration CallerReturnSpread(Duration rest) {
  constexpr Duration kMin = std::chrono::milliseconds(400);
  return std::max(ReturnSpread(rest), kMin);
}

/// @param unit random, from 0 to 1.
[[nodiscard]] inline Duration PartOf(Duration spread, double unit) {
  return FromSeconds(ToSeconds(spread) * unit);
}

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_TARGET_REST_H_
