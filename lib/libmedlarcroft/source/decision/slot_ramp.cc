#include "medlarcroft/decision/slot_ramp.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::decision {

namespace {

// Keeps placement scores finite. It is smaller than 1/16, the ratio of the
// smallest to the largest latency factor, so that a low latency cannot
// compensate for repeated shedding.
constexpr double kMinFractionAfterShed = 1.0 / 64;

}  // namespace

void SlotRamp::Start(MonotonicTime now,
                     double start_fraction,
                     Duration duration) {
  start_time_ = now;
  end_time_ = now + duration;
  start_fraction_ = start_fraction;
  is_after_shed_ = false;
}

void SlotRamp::Halve(MonotonicTime now, Duration duration) {
  Start(now, Fraction(now) / 2, duration);
  is_after_shed_ = true;
}

std::uint32_t SlotRamp::Usable(std::uint32_t share, MonotonicTime now) const {
  if (share == 0 || !IsActive(now))
    return share;

  const auto slots =
      static_cast<std::uint32_t>(std::floor(share * Fraction(now)));
  return std::clamp(slots, 1U, share);
}

double SlotRamp::FractionAfterShed(MonotonicTime now) const {
  return is_after_shed_ ? std::max(Fraction(now), kMinFractionAfterShed) : 1.0;
}

double SlotRamp::Fraction(MonotonicTime now) const {
  if (!IsActive(now))
    return 1.0;
  return start_fraction_ + (1.0 - start_fraction_) *
                               ToSeconds(now - start_time_) /
                               ToSeconds(end_time_ - start_time_);
}

}  // namespace medlarcroft::decision
