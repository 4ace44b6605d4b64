#ifndef MEDLARCROFT_DECISION_LEAVING_STATUS_H_
#define MEDLARCROFT_DECISION_LEAVING_STATUS_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief Whether a target is leaving, from signs that lag behind each other.
///
/// Load: a target drains at the peak, and the snapshot, the host list and its
/// own answers say so seconds apart. Harm prevented: a late "it lives" from a
/// lagging source sends it new work. The first sign wins, and only the source
/// of a sign undoes it. The target's own sign ends when the target, asked after
/// it, says that it stays; when the snapshot, having shown the target as
/// leaving, shows it as staying; or after fifteen minutes, longer than any
/// planned drain, so that a target restarted under the same name is not lost
/// for good. The snapshot's sign ends with the snapshot's word.
///
/// The two are kept apart because the snapshot is made from what the hosts see.
/// Failure: a host that reports the snapshot's word as its own sight. Symptom:
/// hosts confirm each other for ever and a target is never used again after its
/// drain. `IsSigned` is therefore all that a host may report.
class LeavingStatus {
 public:
  /// The target itself says that it leaves.
  void OnSign(MonotonicTime now);
  /// The target, asked at `asked_at`, says that it stays.
  void OnStayingSign(MonotonicTime asked_at);
  void OnSnapshot(bool is_leaving, MonotonicTime now);

  [[nodiscard]] bool IsLeaving(MonotonicTime now) const;
  /// @return whether the target's own sign is in force here.
  [[nodiscard]] bool IsSigned(MonotonicTime now) const;
  /// @return when the target's own sign ends; the past when there is none.
  [[nodiscard]] MonotonicTime EndsAt() const { return signed_until_; }

 private:
  bool is_in_snapshot_ = false;
  MonotonicTime signed_at_{};
  MonotonicTime signed_until_{};
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_LEAVING_STATUS_H_
