#ifndef MEDLARCROFT_PORTS_CLOCK_H_
#define MEDLARCROFT_PORTS_CLOCK_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::ports {

/// @brief Source of time; tests inject a manual clock.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return the monotonic time of this host, which advances also while the
  /// process is paused.
  [[nodiscard]] virtual MonotonicTime Now() const = 0;

  /// @return time since the Unix epoch by the clock of this host.
  [[nodiscard]] virtual WallTime WallNow() const = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_CLOCK_H_
