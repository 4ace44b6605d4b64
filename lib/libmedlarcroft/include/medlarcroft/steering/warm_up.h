#ifndef MEDLARCROFT_STEERING_WARM_UP_H_
#define MEDLARCROFT_STEERING_WARM_UP_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::steering {

/// @brief Parameters of the warm-up of a receiver that has had no shifted work
/// for a while.
struct WarmUpOptions {
  /// Fraction of the spare capacity offered while cold. A cache miss makes a
  /// request several times as long: with a quarter, a fourfold cost still fits.
  double cold_fraction = 0.25;
  Duration step_time = std::chrono::seconds(5);  ///< To double the fraction.
  /// After this time without shifted work, the caches hold only data of the
  /// domain's own callers.
  Duration cold_after = std::chrono::minutes(5);
};

/// @brief How warm a receiver's caches are for one service's shifted work.
class WarmUp {
 public:
  /// @return the fraction of the spare capacity to offer, above 0, at most 1.
  [[nodiscard]] double Fraction(MonotonicTime now,
                                const WarmUpOptions& options) const;
  /// @brief Records the inflow that is in force from `now` on.
  /// @param is_used whether the inflow uses at least half of what is offered;
  /// only such work warms the caches that the next step relies on.
  void Observe(MonotonicTime now,
               bool has_inflow,
               bool is_used,
               const WarmUpOptions& options);

 private:
  double fraction_ = 0.0;  // 0: cold.
  MonotonicTime last_inflow_;
  MonotonicTime last_step_;
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_WARM_UP_H_
