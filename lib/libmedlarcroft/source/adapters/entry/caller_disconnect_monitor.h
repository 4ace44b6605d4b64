#ifndef MEDLARCROFT_ADAPTERS_ENTRY_CALLER_DISCONNECT_MONITOR_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_CALLER_DISCONNECT_MONITOR_H_

#include <map>
#include <memory>
#include <mutex>

#include "adapters/entry/request_engine.h"
#include "adapters/http/http_server.h"

namespace medlarcroft::adapters {

/// @brief Cancels the work of callers that went away.
///
/// Failure: a caller gives up and asks again, while its first request still
/// holds a slot. Symptom: under load, most slots work for nobody. Looking at
/// each caller's connection a few times a second is enough, since a request
/// holds its slot for tens of milliseconds or more.
class CallerDisconnectMonitor {
 public:
  explicit CallerDisconnectMonitor(RequestEngine& engine) : engine_(engine) {}

  /// @param is_kept_if_dispatched see `RequestEngine::Cancel`.
  void Add(decision::RequestTicket ticket,
           const std::shared_ptr<Responder>& responder,
           bool is_kept_if_dispatched);

  /// @brief Cancels for callers that are gone and forgets answered requests.
  /// Call it a few times a second.
  void Check();

 private:
  struct Watched {
    std::weak_ptr<Responder> responder;
    bool is_kept_if_dispatched = false;
  };

  RequestEngine& engine_;
  std::mutex mutex_;
  std::map<decision::RequestTicket, Watched> watched_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_CALLER_DISCONNECT_MONITOR_H_
