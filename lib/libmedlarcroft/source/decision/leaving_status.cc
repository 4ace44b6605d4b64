#include "medlarcroft/decision/leaving_status.h"

namespace medlarcroft::decision {
namespace {

constexpr Duration kSignLasts = std::chrono::minutes(15);

}  // namespace

void LeavingStatus::OnSign(MonotonicTime now) {
  signed_at_ = now;
  signed_until_ = now + kSignLasts;
}

void LeavingStatus::OnStayingSign(MonotonicTime asked_at) {
  // An answer to an older question may have been given before the sign.
  if (asked_at > signed_at_) {
    signed_until_ = signed_at_;
  }
}

void LeavingStatus::OnSnapshot(bool is_leaving, MonotonicTime now) {
  if (is_in_snapshot_ && !is_leaving) {
    signed_until_ = now;
  }
  is_in_snapshot_ = is_leaving;
}

bool LeavingStatus::IsLeaving(MonotonicTime now) const {
  return is_in_snapshot_ || IsSigned(now);
}

bool LeavingStatus::IsSigned(MonotonicTime now) const {
  return now < signed_until_;
}

}  // namespace medlarcroft::decision
