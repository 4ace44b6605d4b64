#ifndef MEDLARCROFT_PORTS_TIMERS_H_
#define MEDLARCROFT_PORTS_TIMERS_H_

#include <functional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::ports {

/// @brief Runs tasks after a delay, one at a time; tests inject manual time.
class Timers {
 public:
  virtual ~Timers() = default;

  /// @return the monotonic time of this host, which advances also while the
  /// process is paused.
  [[nodiscard]] virtual MonotonicTime Now() const = 0;

  /// @brief Runs `task` once, at the earliest after `delay`, and never before
  /// this call returns.
  virtual void RunAfter(Duration delay, std::function<void()> task) = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_TIMERS_H_
