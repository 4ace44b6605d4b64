#ifndef MEDLARCROFT_CORE_TIME_H_
#define MEDLARCROFT_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace medlarcroft {

using Duration = std::chrono::nanoseconds;

/// @brief The monotonic clock of one host. Never compare its readings between
/// hosts.
struct MonotonicTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicTimeline>;
  static constexpr bool is_steady = true;
};

/// @brief Time since the Unix epoch, for display and key expiry. Never use it
/// for leases.
struct WallTimeline {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<WallTimeline>;
  static constexpr bool is_steady = false;
};

using MonotonicTime = MonotonicTimeline::time_point;
using WallTime = WallTimeline::time_point;

/// @return `duration` in whole milliseconds, rounded down.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// @return `duration` in seconds.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return the duration of `seconds`, rounded down to a nanosecond.
constexpr Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_TIME_H_
