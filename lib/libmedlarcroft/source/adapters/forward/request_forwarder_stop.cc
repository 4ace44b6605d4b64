// Request forwarder: what ends because this host stops.
#include <vector>

#include "adapters/forward/request_forwarder.h"

namespace medlarcroft::adapters {

namespace {

using request_path::RequestTicket;

}  // namespace

// Guards against requests that are cut by the end of the process: without an
// answer, a caller can't tell them from those that were never read.
void RequestForwarder::AnswerBy(MonotonicTime due) {
  const MonotonicTime now = parts_.loop.Now();
  parts_.path.AnswerBy(due);
  std::vector<RequestTicket> overdue;
  for (auto& [ticket, active] : active_requests_) {
    if (active->started_at + active->start.time_left <= due) {
      continue;
    }
    parts_.loop.Cancel(active->request_timer);
    if (due <= now) {
      overdue.push_back(ticket);
      continue;
    }
    active->request_timer = parts_.loop.After(
        due - now, [this, ticket = ticket] { OnTimeout(ticket); });
  }
  for (const RequestTicket ticket : overdue) {
    OnTimeout(ticket);
  }
}

}  // namespace medlarcroft::adapters
