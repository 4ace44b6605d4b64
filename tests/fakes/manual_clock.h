#ifndef MEDLARCROFT_TESTS_FAKES_MANUAL_CLOCK_H_
#define MEDLARCROFT_TESTS_FAKES_MANUAL_CLOCK_H_

#include "medlarcroft/ports/clock.h"

namespace medlarcroft::fakes {

/// @brief A clock that a test advances. It starts at one hour, so that earlier
/// times can be expressed.
class ManualClock final : public ports::Clock {
 public:
  [[nodiscard]] MonotonicTime Now() const override { return now_; }
  [[nodiscard]] WallTime WallNow() const override {
    return WallTime(now_.time_since_epoch());
  }

  void Advance(Duration duration) { now_ += duration; }

 private:
  MonotonicTime now_{std::chrono::hours(1)};
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_MANUAL_CLOCK_H_
