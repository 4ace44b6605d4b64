#include "medlarcroft/decision/leaving_status.h"

namespace medlarcroft::decision {
namespace {

constexpr Duration kReportLifetime = std::chrono::minutes(15);

}  // namespace

void LeavingStatus::OnLeavingReport(MonotonicTime now) {
  reported_at_ = now;
  report_expires_at_ = now + kReportLifetime;
}

void LeavingStatus::OnStayingReport(MonotonicTime queried_at) {
  // An answer to an earlier query may predate the report that it is leaving.
  if (queried_at > reported_at_) {
    report_expires_at_ = reported_at_;
  }
}

void LeavingStatus::OnSnapshot(bool is_leaving, MonotonicTime now) {
  if (is_leaving_in_snapshot_ && !is_leaving) {
    report_expires_at_ = now;
  }
  is_leaving_in_snapshot_ = is_leaving;
}

bool LeavingStatus::IsLeaving(MonotonicTime now) const {
  return is_leaving_in_snapshot_ || IsReportedLeaving(now);
}

bool LeavingStatus::IsReportedLeaving(MonotonicTime now) const {
  return now < report_expires_at_;
}

}  // namespace medlarcroft::decision
