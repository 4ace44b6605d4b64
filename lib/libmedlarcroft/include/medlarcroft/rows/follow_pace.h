#ifndef MEDLARCROFT_ROWS_FOLLOW_PACE_H_
#define MEDLARCROFT_ROWS_FOLLOW_PACE_H_

#include <cstddef>

#include "medlarcroft/core/time.h"

namespace medlarcroft::rows {

/// @brief How a host follows a table that must be known within seconds.
struct FollowPace {
  /// How long the store holds a call when nothing changes.
  Duration wait{0};
  /// How long changes may wait to be heard together: where many hosts and
  /// targets start at once, each change that is heard alone is a call of every
  /// host.
  Duration pause_after_change{0};
};

/// Each host reads for itself: 394 calls of 8 hosts in a calm day of 40 s.
inline constexpr FollowPace kPaceAlone{
    .wait = std::chrono::milliseconds(4800),
    .pause_after_change = std::chrono::milliseconds(120)};

/// One host reads for a region. It must see sooner that the store has lost
/// sight of a call: all of them wait, and with the margin and a call of their
/// own must hear within 2.5 s.
inline constexpr FollowPace kPaceForOthers{
    .wait = std::chrono::milliseconds(1500),
    .pause_after_change = std::chrono::milliseconds(400)};

/// Up to so many hosts of a region each read the store for themselves; in
/// larger ones one reads each table for all. At 30 hosts reading each for
/// itself took 0.41 of a day's worth, at 3 and 4 hosts 0.02.
inline constexpr std::size_t kHostsThatReadThemselves = 5;

[[nodiscard]] constexpr FollowPace PaceOf(std::size_t hosts_in_region) {
  return hosts_in_region > kHostsThatReadThemselves ? kPaceForOthers
                                                    : kPaceAlone;
}

}  // namespace medlarcroft::rows

#endif  // MEDLARCROFT_ROWS_FOLLOW_PACE_H_
