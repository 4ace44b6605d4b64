#include "adapters/entry/caller_disconnect_monitor.h"

#include <utility>
#include <vector>

namespace medlarcroft::adapters {

void CallerDisconnectMonitor::Add(decision::RequestTicket ticket,
                                  const std::shared_ptr<Responder>& responder,
                                  bool is_kept_if_dispatched) {
  const std::lock_guard lock(mutex_);
  monitored_callers_[ticket] = {responder, is_kept_if_dispatched};
}

void CallerDisconnectMonitor::Check() {
  std::vector<std::pair<decision::RequestTicket, bool>> disconnected;
  {
    const std::lock_guard lock(mutex_);
    for (auto it = monitored_callers_.begin();
         it != monitored_callers_.end();) {
      // The listener releases its responder once the request is answered.
      const auto responder = it->second.responder.lock();
      if (responder && !responder->IsClientDisconnected()) {
        ++it;
        continue;
      }
      if (responder) {
        disconnected.emplace_back(it->first, it->second.is_kept_if_dispatched);
      }
      it = monitored_callers_.erase(it);
    }
  }
  for (const auto& [ticket, is_kept] : disconnected) {
    engine_.Cancel(ticket, is_kept);
  }
}

}  // namespace medlarcroft::adapters
