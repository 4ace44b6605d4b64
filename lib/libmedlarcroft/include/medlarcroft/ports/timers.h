#ifndef MEDLARCROFT_PORTS_TIMERS_H_
#define MEDLARCROFT_PORTS_TIMERS_H_

#include <functional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::ports {

/// @brief Runs tasks later, one after the other; tests move its time by hand.
class Timers {
 public:
  virtual ~Timers() = default;

  /// @return this host's monotonic time; it counts on while the process is
  /// paused.
  [[nodiscard]] virtual MonotonicTime Now() const = 0;

  /// @brief Runs `task` once, no earlier than after `delay`, and never before
  /// this call has returned.
  virtual void RunAfter(Duration delay, std::function<void()> task) = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_TIMERS_H_
