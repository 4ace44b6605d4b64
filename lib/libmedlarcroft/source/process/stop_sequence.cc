#include "medlarcroft/process/stop_sequence.h"

namespace medlarcroft::process {

void StopSequence::OnSignal(int count, MonotonicTime now) {
  if (phase_ == StopPhase::kServing) {
    Enter(StopPhase::kAnnouncing, now);
  }
  is_immediate_ = count > 1;
}

void StopSequence::Advance(std::size_t in_flight, MonotonicTime now) {
  if (phase_ == StopPhase::kAnnouncing &&
      (is_immediate_ || now - entered_at_ >= options_.announce_time)) {
    Enter(StopPhase::kFinishing, now);
    if (!is_immediate_) {
      // The port closes now: what has arrived there is in flight from the next
      // call on.
      return;
    }
  }
  if (phase_ != StopPhase::kFinishing) {
    return;
  }
  const bool is_limit_reached = now - entered_at_ >= options_.finish_limit;
  if (in_flight == 0 || is_immediate_ || is_limit_reached) {
    aborted_count_ = in_flight;
    Enter(StopPhase::kStopped, now);
  }
}

MonotonicTime StopSequence::LatestEnd(MonotonicTime now) const {
  if (is_immediate_ || phase_ == StopPhase::kStopped) {
    return now;
  }
  const MonotonicTime end = entered_at_ + options_.finish_limit;
  return phase_ == StopPhase::kAnnouncing ? end + options_.announce_time : end;
}

void StopSequence::Enter(StopPhase phase, MonotonicTime now) {
  phase_ = phase;
  entered_at_ = now;
}

}  // namespace medlarcroft::process
