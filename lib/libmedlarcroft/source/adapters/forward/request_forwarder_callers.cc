// Request forwarder: what ends because its caller has left.
#include <vector>

#include "adapters/forward/request_forwarder.h"

namespace medlarcroft::adapters {

namespace {

using request_path::RequestTicket;

// Targets must stop within half a second after the caller has left.
constexpr Duration kCallerCheckPeriod = std::chrono::milliseconds(200);

}  // namespace

// Guards against targets that work on for callers who have left: a host that
// has much to do comes to the end of a connection after all events that were
// there before, which may take it a second. Timers come first, so the targets'
// work ends in time however many events wait.
void RequestForwarder::StartCallerChecks() {
  if (caller_check_timer_ == 0 && !active_requests_.empty()) {
    caller_check_timer_ =
        parts_.loop.After(kCallerCheckPeriod, [this] { CheckCallers(); });
  }
}

void RequestForwarder::CheckCallers() {
  caller_check_timer_ = 0;
  std::vector<RequestTicket> left;
  for (const auto& [ticket, active] : active_requests_) {
    if (active->exchange->IsCallerGone()) {
      left.push_back(ticket);
    }
  }
  for (const RequestTicket ticket : left) {
    OnCallerGone(ticket);
  }
  StartCallerChecks();
}

// Guards against sending what nobody waits for: a host that was held up reads
// requests after their callers have left, and comes to the end of their
// connections later. The targets worked on all of them. It is enough to ask
// right before each send, and again when the connection for it is established,
// which may be long after that.
bool RequestForwarder::EndIfCallerGone(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end() ||
      !found->second->exchange->IsCallerGone()) {
    return false;
  }
  OnCallerGone(ticket);
  return true;
}

void RequestForwarder::OnCallerGone(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  found->second->exchange->OnCallerGone(nullptr);
  const MonotonicTime now = parts_.loop.Now();
  parts_.telemetry.OnCallerGone(found->second->lines, found->second->decoded.id,
                                *found->second->start.route,
                                now - found->second->started_at);
  parts_.path.OnCallerGone(ticket, now);
  Remove(ticket);
}

}  // namespace medlarcroft::adapters
