#ifndef MEDLARCROFT_CORE_RATE_METER_H_
#define MEDLARCROFT_CORE_RATE_METER_H_

#include <cmath>

#include "medlarcroft/core/time.h"

namespace medlarcroft {

/// @brief Events per second, averaged with an exponential window.
class RateMeter {
 public:
  explicit RateMeter(Duration window) : window_seconds_(ToSeconds(window)) {}

  void Add(MonotonicTime now, double events = 1.0) {
    decayed_count_ = DecayedCount(now) + events;
    last_event_at_ = now;
  }

  [[nodiscard]] double PerSecond(MonotonicTime now) const {
    return DecayedCount(now) / window_seconds_;
  }

 private:
  [[nodiscard]] double DecayedCount(MonotonicTime now) const {
    if (decayed_count_ == 0) {
      return 0;
    }
    return decayed_count_ *
           std::exp(-ToSeconds(now - last_event_at_) / window_seconds_);
  }

  double window_seconds_;
  double decayed_count_ = 0;
  MonotonicTime last_event_at_{};
};

}  // namespace medlarcroft

#endif  // MEDLARCROFT_CORE_RATE_METER_H_
