#ifndef MEDLARCROFT_CAPACITY_LEASE_RULES_H_
#define MEDLARCROFT_CAPACITY_LEASE_RULES_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::capacity {

/// @brief Durations of all leases; the same on all hosts. Lender and borrower
/// measure them on their own monotonic clocks, so only clock rates are
/// compared, never readings.
struct LeaseRules {
  /// How long after a loan or a confirmation new work may start. A shorter
  /// lease frees a dead host's capacity sooner, a longer one needs fewer
  /// renewals.
  Duration lease = std::chrono::seconds(3);
  /// Longest time that dispatched work may use a slot. The dispatcher cancels
  /// the work then, and the target was given this deadline.
  Duration max_work = std::chrono::seconds(5);
  /// Maximum relative rate difference of two clocks: crystal error is below
  /// 1e-4 and clock discipline adds at most 5e-4.
  double clock_drift = 0.001;

  /// @return the time, on another host's clock, after which no work started
  /// within one lease is still running.
  [[nodiscard]] Duration ReuseDelay() const {
    return WithDrift(lease + max_work);
  }

  /// @return the same after a release by a process that keeps running: the
  /// validity already reported for its seat may last one lease longer.
  [[nodiscard]] Duration ReuseDelayAfterRelease() const {
    return WithDrift(lease + lease + max_work);
  }

 private:
  [[nodiscard]] Duration WithDrift(Duration duration) const {
    return FromSeconds(ToSeconds(duration) * (1.0 + clock_drift));
  }
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_LEASE_RULES_H_
