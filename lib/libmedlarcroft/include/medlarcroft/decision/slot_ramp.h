#ifndef MEDLARCROFT_DECISION_SLOT_RAMP_H_
#define MEDLARCROFT_DECISION_SLOT_RAMP_H_

#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief How much of a target's share is used while it warms up.
///
/// Load: a target that just started, came back or shed work meets its full
/// share at once. Harm prevented: with cold caches every one of these requests
/// is slow, and it looks broken. The share grows in even steps from one slot,
/// which keeps it warm and measured. A target that shed falls to half of what
/// it had, for a shorter time.
class SlotRamp {
 public:
  void Start(MonotonicTime now, double from, Duration length);
  /// Falls to half of the present part and grows back.
  void Halve(MonotonicTime now, Duration length);

  [[nodiscard]] bool IsActive(MonotonicTime now) const { return now < end_; }
  /// @return the slots of `share` in use now; at least 1 when `share` is.
  [[nodiscard]] std::uint32_t Usable(std::uint32_t share,
                                     MonotonicTime now) const;
  /// @return the part of the share in use, in (0, 1], while the target recovers
  /// from a shed; 1 otherwise.
  [[nodiscard]] double FractionAfterShed(MonotonicTime now) const;

 private:
  [[nodiscard]] double Part(MonotonicTime now) const;

  MonotonicTime start_{};
  MonotonicTime end_{};
  double from_ = 1.0;
  bool is_after_shed_ = false;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_SLOT_RAMP_H_
