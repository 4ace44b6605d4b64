#ifndef MEDLARCROFT_EXAMPLES_EMBEDDING_EXAMPLE_CLOCK_H_
#define MEDLARCROFT_EXAMPLES_EMBEDDING_EXAMPLE_CLOCK_H_

#include "medlarcroft/ports/clock.h"

/// @brief A manual clock, so that the output of the example is deterministic. A
/// real program reads the clocks of the system, the monotonic one from
/// CLOCK_BOOTTIME.
class ExampleClock final : public medlarcroft::ports::Clock {
 public:
  [[nodiscard]] medlarcroft::MonotonicTime Now() const override { return now_; }
  [[nodiscard]] medlarcroft::WallTime WallNow() const override {
    return medlarcroft::WallTime(now_.time_since_epoch());
  }

  void Advance(medlarcroft::Duration duration) { now_ += duration; }

 private:
  medlarcroft::MonotonicTime now_{std::chrono::hours(1)};
};

#endif  // MEDLARCROFT_EXAMPLES_EMBEDDING_EXAMPLE_CLOCK_H_
