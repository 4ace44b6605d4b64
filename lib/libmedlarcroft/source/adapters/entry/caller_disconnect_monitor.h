#ifndef MEDLARCROFT_ADAPTERS_ENTRY_CALLER_DISCONNECT_MONITOR_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_CALLER_DISCONNECT_MONITOR_H_

#include <map>
#include <memory>
#include <mutex>

#include "adapters/entry/request_engine.h"
#include "adapters/http/http_server.h"

namespace medlarcroft::adapters {

/// @brief Cancels the requests of callers that have disconnected.
///
/// A caller may give up and retry while its first request still holds a slot.
/// Without cancellation, most slots would then work on requests that no caller
/// waits for when the load is high. Checking each caller's connection a few
/// times a second is enough, since a request holds its slot for tens of
/// milliseconds or more.
class CallerDisconnectMonitor {
 public:
  explicit CallerDisconnectMonitor(RequestEngine& engine) : engine_(engine) {}

  /// @param is_kept_if_dispatched see `RequestEngine::Cancel`.
  void Add(decision::RequestTicket ticket,
           const std::shared_ptr<Responder>& responder,
           bool is_kept_if_dispatched);

  /// @brief Cancels the requests of disconnected callers and stops monitoring
  /// answered requests. Call it a few times a second.
  void Check();

 private:
  struct MonitoredCaller {
    std::weak_ptr<Responder> responder;
    bool is_kept_if_dispatched = false;
  };

  RequestEngine& engine_;
  std::mutex mutex_;
  std::map<decision::RequestTicket, MonitoredCaller> monitored_callers_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_CALLER_DISCONNECT_MONITOR_H_
