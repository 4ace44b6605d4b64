#ifndef MEDLARCROFT_REPLICATION_STORE_CLOCK_H_
#define MEDLARCROFT_REPLICATION_STORE_CLOCK_H_

#include <optional>

#include "medlarcroft/core/time.h"

namespace medlarcroft::replication {

/// @brief Tells when the store gave an answer, in this host's time, from the
/// steady clock that the answer shows.
///
/// Failure: a cut holds an answer up for seconds. Symptom: what it tells counts
/// as fresh from its arrival on, and all who hear the table from this host act
/// on it for as long again. The answer that came fastest so far shows how the
/// clocks lie; one that comes later than that was held up by the difference.
class StoreClock {
 public:
  /// @param told_at by the store's clock.
  /// @return at most `received_at`; too early by the way of the fastest answer.
  [[nodiscard]] MonotonicTime GivenAt(Duration told_at,
                                      MonotonicTime received_at) {
    const MonotonicTime origin = received_at - told_at;
    if (!origin_ || origin < *origin_ || origin - *origin_ > kLongestHeldUp) {
      origin_ = origin;
    }
    return *origin_ + told_at;
  }

 private:
  /// Probes end a connection sooner than that; more is a clock that began anew.
  static constexpr Duration kLongestHeldUp = std::chrono::seconds(10);

  /// This host's time when the store's clock showed zero, as the fastest answer
  /// has it.
  std::optional<MonotonicTime> origin_;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_STORE_CLOCK_H_
