#ifndef MEDLARCROFT_DECISION_RATE_METER_H_
#define MEDLARCROFT_DECISION_RATE_METER_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief Events per second, averaged with an exponential window of five
/// seconds.
///
/// The window is long enough for a steady value at ten requests per second, and
/// short enough for peers to learn of a burst while it is still going on.
class RateMeter {
 public:
  void Add(MonotonicTime now);
  [[nodiscard]] double PerSecond(MonotonicTime now) const;

 private:
  double decayed_count_ = 0;
  MonotonicTime last_event_at_{};
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_RATE_METER_H_
