#include "medlarcroft/steering/warm_up.h"

#include <algorithm>

namespace medlarcroft::steering {

namespace {

constexpr double kGrowthFactor = 2.0;

}  // namespace

double WarmUp::Fraction(MonotonicTime now, const WarmUpOptions& options) const {
  const bool is_cold =
      fraction_ <= 0.0 || now - last_inflow_ >= options.cold_after;
  return is_cold ? options.cold_fraction : fraction_;
}

void WarmUp::Observe(MonotonicTime now,
                     bool has_inflow,
                     bool is_used,
                     const WarmUpOptions& options) {
  if (!has_inflow) {
    return;
  }

  const double current = Fraction(now, options);
  const bool starts = fraction_ <= 0.0 || current < fraction_;
  fraction_ = current;
  last_inflow_ = now;

  if (starts || !is_used) {
    last_step_ = now;
    return;
  }

  if (now - last_step_ >= options.step_time) {
    fraction_ = std::min(1.0, current * kGrowthFactor);
    last_step_ = now;
  }
}

}  // namespace medlarcroft::steering
