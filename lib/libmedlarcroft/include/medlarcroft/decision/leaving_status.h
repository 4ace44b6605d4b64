#ifndef MEDLARCROFT_DECISION_LEAVING_STATUS_H_
#define MEDLARCROFT_DECISION_LEAVING_STATUS_H_

#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief Whether a target is leaving, from sources with different delays.
///
/// When a target drains at peak load, the snapshot, the host list and the
/// target's own answers report it seconds apart. An outdated report from a
/// slower source that the target is available would send it new requests.
/// Therefore the first report that the target is leaving takes effect, and only
/// its source can revoke it. The target's own report ends when the target,
/// queried after that report, answers that it is staying; when the snapshot,
/// after listing the target as leaving, no longer does so; or after fifteen
/// minutes, which is longer than any planned drain, so that a target that was
/// restarted under the same name is not excluded permanently. The snapshot's
/// report ends when the snapshot no longer lists the target as leaving.
///
/// The two sources are kept apart because the snapshot is built from the
/// observations of the hosts. If a host reported what the snapshot says as its
/// own observation, the hosts would confirm each other indefinitely, and the
/// target would never be used again after its drain. A host must therefore
/// report `IsReportedLeaving` only.
class LeavingStatus {
 public:
  /// The target itself reports that it is leaving.
  void OnLeavingReport(MonotonicTime now);
  /// The target, queried at `queried_at`, reports that it is staying.
  void OnStayingReport(MonotonicTime queried_at);
  void OnSnapshot(bool is_leaving, MonotonicTime now);

  [[nodiscard]] bool IsLeaving(MonotonicTime now) const;
  /// @return whether the target's own report, as received by this host, is in
  /// effect.
  [[nodiscard]] bool IsReportedLeaving(MonotonicTime now) const;
  /// @return when the target's own report expires; in the past if there is
  /// none.
  [[nodiscard]] MonotonicTime ReportExpiresAt() const {
    return report_expires_at_;
  }

 private:
  bool is_leaving_in_snapshot_ = false;
  MonotonicTime reported_at_{};
  MonotonicTime report_expires_at_{};
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_LEAVING_STATUS_H_
