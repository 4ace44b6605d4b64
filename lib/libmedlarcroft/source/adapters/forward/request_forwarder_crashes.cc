// Request forwarder: which requests it reports for targets that crashed.
#include "adapters/forward/request_forwarder.h"

namespace medlarcroft::adapters {

namespace {

using request_path::SendAttempt;

// Until refused connections to other targets show that this host is cut off:
// one period of its monitor and two round trips to another region.
constexpr Duration kCutDetectionTime = std::chrono::milliseconds(500);

// Ends of targets of different regions are seen this far apart at most; a
// second send is made later than that.
constexpr Duration kSimultaneousEnds = std::chrono::milliseconds(80);

}  // namespace

// A request that crashes its targets does so one send after the other. Two of
// its sends that were under way together and end at once show that many targets
// ended, which must not count against the request twice.
void RequestForwarder::CheckForCrash(ActiveRequest& active,
                                     const SendAttempt& attempt) {
  const MonotonicTime now = parts_.loop.Now();
  // A target that rests wants no connection either, and one that leaves ends
  // without any request being the reason.
  if (parts_.path.WantsNothing(attempt.target, now)) {
    return;
  }
  const bool ended_with_another =
      active.interrupted_at &&
      now - *active.interrupted_at < kSimultaneousEnds &&
      attempt.attempt <= active.attempt_at_interruption;
  active.interrupted_at = now;
  active.attempt_at_interruption = active.last_attempt;
  crash_probe_.Check(
      attempt.address,
      {.id = active.decoded.id,
       .fingerprint = ended_with_another ? request_path::RequestFingerprint()
                                         : active.decoded.request.fingerprint,
       .target = attempt.target,
       .ended_at = now});
}

// A target that refuses connections right after one broke off under a request
// has crashed, or this host's links to all targets are lost. In that case the
// requests that were in flight would count as crashing several targets each,
// and all hosts would block them for minutes. So the report waits until a cut
// would be known.
void RequestForwarder::OnTargetRefused(const InterruptedSend& interrupted) {
  const MonotonicTime refused_at = parts_.loop.Now();
  parts_.path.OnConnectFailed(interrupted.target, refused_at);
  if (!parts_.on_crash) {
    return;
  }
  parts_.loop.After(kCutDetectionTime, [this, alive = std::weak_ptr(alive_),
                                        interrupted, refused_at] {
    if (!alive.expired() && !parts_.path.Reach().WasCutOffSince(refused_at)) {
      parts_.on_crash(interrupted);
    }
  });
}

}  // namespace medlarcroft::adapters
