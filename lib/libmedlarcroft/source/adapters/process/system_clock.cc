#include "adapters/process/system_clock.h"

#include <ctime>

namespace medlarcroft::adapters {

namespace {

Duration ReadClock(clockid_t clock) {
  timespec reading{};
  clock_gettime(clock, &reading);
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

}  // namespace

MonotonicTime SystemClock::Now() const {
  return MonotonicTime(ReadClock(CLOCK_BOOTTIME));
}

WallTime SystemClock::WallNow() const {
  return WallTime(ReadClock(CLOCK_REALTIME));
}

}  // namespace medlarcroft::adapters
