#include "medlarcroft/decision/rate_meter.h"

#include <cmath>

namespace medlarcroft::decision {
namespace {

constexpr double kWindowSeconds = 5.0;

}  // namespace

void RateMeter::Add(MonotonicTime now) {
  decayed_count_ = PerSecond(now) * kWindowSeconds + 1.0;
  last_event_at_ = now;
}

double RateMeter::PerSecond(MonotonicTime now) const {
  if (decayed_count_ == 0)
    return 0;
  return decayed_count_ *
         std::exp(-ToSeconds(now - last_event_at_) / kWindowSeconds) /
         kWindowSeconds;
}

}  // namespace medlarcroft::decision
