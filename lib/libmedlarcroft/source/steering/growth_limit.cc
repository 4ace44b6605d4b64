#include "medlarcroft/steering/growth_limit.h"

#include <algorithm>

namespace medlarcroft::steering {

double GrowthLimit::BaseAt(MonotonicTime now, Duration window) const {
  const bool is_window_over = !has_grown_ || now - last_growth_ >= window;
  return is_window_over ? rate_ : base_;
}

double GrowthLimit::Ceiling(MonotonicTime now,
                            double step,
                            Duration window) const {
  return BaseAt(now, window) + step;
}

void GrowthLimit::Set(MonotonicTime now, double rate, Duration window) {
  const bool grows = rate > rate_;
  base_ = std::min(BaseAt(now, window), rate);
  rate_ = rate;

  if (grows) {
    has_grown_ = true;
    last_growth_ = now;
  }
}

bool GrowthLimit::IsIdle(MonotonicTime now, Duration window) const {
  return rate_ <= 0.0 && BaseAt(now, window) <= 0.0 &&
         (!has_grown_ || now - last_growth_ >= window);
}

}  // namespace medlarcroft::steering
