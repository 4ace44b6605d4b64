#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SYSTEM_CLOCK_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SYSTEM_CLOCK_H_

#include "medlarcroft/ports/clock.h"

namespace medlarcroft::adapters {

/// @brief The clocks of the operating system. Monotonic time is CLOCK_BOOTTIME:
/// after a suspension, a host must see that its leases continued to run, which
/// CLOCK_MONOTONIC would hide.
class SystemClock final : public ports::Clock {
 public:
  [[nodiscard]] MonotonicTime Now() const override;
  [[nodiscard]] WallTime WallNow() const override;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SYSTEM_CLOCK_H_
