#include "medlarcroft/retries/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace medlarcroft::retries {

RetryCounts& RetryCounts::operator+=(const RetryCounts& other) {
  earned += other.earned;
  fixed += other.fixed;
  refused += other.refused;
  return *this;
}

RetryBudget::RetryBudget(const Options& options)
    : options_(options),
      earned_(EventWindow::OfAtMost(options.saved_for)),
      taken_fixed_(options.limit.window) {}

void RetryBudget::OnEarned(MonotonicTime now) {
  partly_earned_ += options_.usable_fraction * options_.limit.ratio;
  const double whole = std::floor(partly_earned_);
  if (whole >= 1.0) {
    partly_earned_ -= whole;
    earned_.Add(now, static_cast<std::uint32_t>(whole));
  }
}

bool RetryBudget::TryTake(const membership::HostShare& share,
                          MonotonicTime now) {
  if (earned_.TakeOldest(now)) {
    ++counts_.earned;
    return true;
  }
  if (RemainingFixed(share, now) > 0) {
    taken_fixed_.Add(now);
    ++counts_.fixed;
    return true;
  }
  ++counts_.refused;
  return false;
}

std::uint32_t RetryBudget::Remaining(const membership::HostShare& share,
                                     MonotonicTime now) const {
  return earned_.Count(now) + RemainingFixed(share, now);
}

std::uint32_t RetryBudget::RemainingFixed(const membership::HostShare& share,
                                          MonotonicTime now) const {
  const RetryLimit& limit = options_.limit;
  const auto granted = static_cast<std::uint32_t>(
      options_.usable_fraction * limit.fixed * share.Of(limit.window, now));
  return granted - std::min(granted, taken_fixed_.Count(now));
}

}  // namespace medlarcroft::retries
