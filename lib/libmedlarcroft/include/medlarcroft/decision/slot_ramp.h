#ifndef MEDLARCROFT_DECISION_SLOT_RAMP_H_
#define MEDLARCROFT_DECISION_SLOT_RAMP_H_

#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief Slow start: limits the usable part of a target's share while the
/// target warms up.
///
/// A target that has just started, returned from an ejection or shed requests
/// may have cold caches. If it gets its full share at once, every request is
/// slow and the target looks broken. The number of usable slots therefore grows
/// linearly, and at least one stays usable, which keeps the target warm and its
/// measurements current. After shedding, the target drops to half of its
/// current fraction and ramps up over a shorter time.
class SlotRamp {
 public:
  void Start(MonotonicTime now, double start_fraction, Duration duration);
  /// Drops to half of the current fraction and ramps up again.
  void Halve(MonotonicTime now, Duration duration);

  [[nodiscard]] bool IsActive(MonotonicTime now) const {
    return now < end_time_;
  }
  /// @return the usable slots of `share`; at least 1 if `share` is.
  [[nodiscard]] std::uint32_t Usable(std::uint32_t share,
                                     MonotonicTime now) const;
  /// @return the usable fraction of the share, in (0, 1], while the target
  /// recovers from shedding requests; 1 otherwise.
  [[nodiscard]] double FractionAfterShed(MonotonicTime now) const;

 private:
  [[nodiscard]] double Fraction(MonotonicTime now) const;

  MonotonicTime start_time_{};
  MonotonicTime end_time_{};
  double start_fraction_ = 1.0;
  bool is_after_shed_ = false;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_SLOT_RAMP_H_
