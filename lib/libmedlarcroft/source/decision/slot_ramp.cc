#include "medlarcroft/decision/slot_ramp.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::decision {

namespace {

// Keeps placement scores finite. Below 1/16, the ratio of the lowest to the
// highest latency factor, so that a low latency cannot offset repeated sheds.
constexpr double kMinPartAfterShed = 1.0 / 64;

}  // namespace

void SlotRamp::Start(MonotonicTime now, double from, Duration length) {
  start_ = now;
  end_ = now + length;
  from_ = from;
  is_after_shed_ = false;
}

void SlotRamp::Halve(MonotonicTime now, Duration length) {
  Start(now, Part(now) / 2, length);
  is_after_shed_ = true;
}

std::uint32_t SlotRamp::Usable(std::uint32_t share, MonotonicTime now) const {
  if (share == 0 || !IsActive(now))
    return share;

  const auto slots = static_cast<std::uint32_t>(std::floor(share * Part(now)));
  return std::clamp(slots, 1U, share);
}

double SlotRamp::FractionAfterShed(MonotonicTime now) const {
  return is_after_shed_ ? std::max(Part(now), kMinPartAfterShed) : 1.0;
}

double SlotRamp::Part(MonotonicTime now) const {
  if (!IsActive(now))
    return 1.0;
  return from_ +
         (1.0 - from_) * ToSeconds(now - start_) / ToSeconds(end_ - start_);
}

}  // namespace medlarcroft::decision
