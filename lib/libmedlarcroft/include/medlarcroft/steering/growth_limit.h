#ifndef MEDLARCROFT_STEERING_GROWTH_LIMIT_H_
#define MEDLARCROFT_STEERING_GROWTH_LIMIT_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::steering {

/// @brief Limits the growth of a rate to one step in any window of time.
///
/// With aligned windows, a rate could grow by one step just before a boundary
/// and by another just after it, which a receiver with cold caches would see as
/// a jump of two steps. Therefore the base rises only after a whole window
/// without growth, and falls immediately with the rate: within any window the
/// rate never rises by more than one step.
class GrowthLimit {
 public:
  /// @return the highest rate allowed at `now`.
  [[nodiscard]] double Ceiling(MonotonicTime now,
                               double step,
                               Duration window) const;
  /// @brief Sets the rate, which must not exceed the ceiling.
  void Set(MonotonicTime now, double rate, Duration window);

  [[nodiscard]] double Rate() const { return rate_; }
  /// @return whether the rate is 0 and no growth within the last window has to
  /// be remembered.
  [[nodiscard]] bool IsIdle(MonotonicTime now, Duration window) const;

 private:
  [[nodiscard]] double BaseAt(MonotonicTime now, Duration window) const;

  double rate_ = 0.0;
  double base_ = 0.0;
  bool has_grown_ = false;
  MonotonicTime last_growth_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_GROWTH_LIMIT_H_
