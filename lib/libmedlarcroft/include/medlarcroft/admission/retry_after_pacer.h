#ifndef MEDLARCROFT_ADMISSION_RETRY_AFTER_PACER_H_
#define MEDLARCROFT_ADMISSION_RETRY_AFTER_PACER_H_

#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::admission {

/// @brief Computes the Retry-After of refused requests.
///
/// When demand exceeds the slots, many callers are refused within the same
/// second. With a fixed Retry-After they would all return at the same moment
/// and be refused again. Each refusal is therefore given the next time in a
/// schedule that uses half of the service's rate, which leaves the other half
/// to new requests. Jitter of up to a fifth keeps the schedules of different
/// hosts apart. The load cannot be predicted for more than twenty seconds, so
/// the wait before jitter is limited to that; return times beyond it are spread
/// randomly over the second half of that time.
class RetryAfterPacer {
 public:
  /// @param min_delay the shortest delay after which a retry may succeed.
  /// @param rate_per_second requests that the service currently completes per
  /// second.
  [[nodiscard]] Duration Next(MonotonicTime now,
                              Duration min_delay,
                              double rate_per_second,
                              ports::RandomSource& random);

 private:
  MonotonicTime next_return_time_{};
};

}  // namespace medlarcroft::admission

#endif  // MEDLARCROFT_ADMISSION_RETRY_AFTER_PACER_H_
