#ifndef MEDLARCROFT_REPLICATION_STORE_CLOCK_H_
#define MEDLARCROFT_REPLICATION_STORE_CLOCK_H_

#include <optional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::replication {

/// @brief Estimates when the store gave an answer, in this host's time, from
/// the store's steady clock in that answer.
///
/// A network failure may delay an answer by seconds. Its rows would count as
/// fresh from their arrival on, and all hosts that read the table from this one
/// would use them for as long again. The fastest answer so far gives the offset
/// between the clocks; a later answer that took longer was delayed by the
/// difference.
class StoreClock {
 public:
  /// @param store_time the store's clock in the answer.
  /// @return at most `received_at`; too early by the latency of the fastest
  /// answer.
  [[nodiscard]] MonotonicTime EstimateAnswerTime(Duration store_time,
                                                 MonotonicTime received_at) {
    const MonotonicTime origin = received_at - store_time;
    if (!origin_ || origin < *origin_ || origin - *origin_ > kMaxAnswerDelay) {
      origin_ = origin;
    }
    return *origin_ + store_time;
  }

  /// @return this host's time when the store's clock was `store_time`; nullopt
  /// before the first answer.
  [[nodiscard]] std::optional<MonotonicTime> TimeOf(Duration store_time) const {
    return origin_ ? std::optional(*origin_ + store_time) : std::nullopt;
  }

 private:
  /// Liveness probes close a connection sooner than this, so a longer delay
  /// means that the store's clock has started anew.
  static constexpr Duration kMaxAnswerDelay = std::chrono::seconds(10);

  /// This host's time when the store's clock was zero, according to the fastest
  /// answer.
  std::optional<MonotonicTime> origin_;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_STORE_CLOCK_H_
