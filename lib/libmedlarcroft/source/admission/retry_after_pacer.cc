#include "medlarcroft/admission/retry_after_pacer.h"

#include <algorithm>

namespace medlarcroft::admission {
namespace {

constexpr double kReturningRateFraction = 0.5;
constexpr double kMinRatePerSecond = 1.0;
constexpr double kJitterFraction = 0.2;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(20);

}  // namespace

Duration RetryAfterPacer::Next(MonotonicTime now,
                               Duration min_delay,
                               double rate_per_second,
                               ports::RandomSource& random) {
  const Duration min_wait = std::max(min_delay, kMinRetryAfter);
  const double rate =
      std::max(rate_per_second, kMinRatePerSecond) * kReturningRateFraction;

  const MonotonicTime return_time = std::max(next_return_time_, now + min_wait);
  const Duration wait = return_time - now;
  if (wait > kMaxRetryAfter) {
    return FromSeconds(ToSeconds(kMaxRetryAfter) *
                       (0.5 + 0.5 * random.NextUnit()));
  }

  next_return_time_ = return_time + FromSeconds(1.0 / rate);
  return FromSeconds(ToSeconds(wait) *
                     (1.0 + kJitterFraction * random.NextUnit()));
}

}  // namespace medlarcroft::admission
