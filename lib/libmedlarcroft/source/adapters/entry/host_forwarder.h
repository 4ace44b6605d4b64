#ifndef MEDLARCROFT_ADAPTERS_ENTRY_HOST_FORWARDER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_HOST_FORWARDER_H_

#include <mutex>
#include <optional>
#include <string>

#include "adapters/entry/idempotency_guard.h"
#include "adapters/entry/request_engine.h"
#include "adapters/entry/request_parser.h"
#include "adapters/http/http_client.h"
#include "medlarcroft/forwarding/forward_proof.h"
#include "medlarcroft/forwarding/forward_replay_guard.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::adapters {

/// @brief One request to forward to another entry host.
struct ForwardRequest {
  const ServiceRequest& request;
  std::string address;  ///< The other entry host, IP:port.
  forwarding::ForwardKind kind = forwarding::ForwardKind::kShift;
  Duration time_left{0};
  std::size_t max_answer_bytes = 0;
  bool is_idempotent = false;
};

/// @brief Forwards requests to other entry hosts and verifies requests that
/// they forward to this one. Safe to share between threads.
class HostForwarder {
 public:
  HostForwarder(HostName self,
                HttpClient& client,
                const IdempotencyGuard& keys,
                const ports::Clock& clock);

  /// @brief Forwards a request. `done` runs once, on the client's thread.
  /// `kNotRun` in its result is certain: the other host said so of the only
  /// time that the request was sent, or nothing was sent to it.
  void Send(const ForwardRequest& forward, ResultCallback done);

  /// @return how an incoming request was forwarded, or nullopt if its proof is
  /// invalid.
  [[nodiscard]] std::optional<forwarding::ForwardClaim> Verify(
      const ServiceRequest& request) const;

  /// @return false if the proof of this request, which was moved here from
  /// another failure domain, has been used before.
  [[nodiscard]] bool AdmitOnce(const ServiceRequest& request);

 private:
  [[nodiscard]] ClientRequest MakeRequest(const ForwardRequest& forward) const;

  const HostName self_;
  HttpClient& client_;
  const IdempotencyGuard& keys_;
  const ports::Clock& clock_;
  std::mutex mutex_;
  forwarding::ForwardReplayGuard replay_guard_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_HOST_FORWARDER_H_
