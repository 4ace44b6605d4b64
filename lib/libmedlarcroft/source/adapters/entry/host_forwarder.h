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

/// @brief One request to send on.
struct Forwarding {
  const ServiceRequest& request;
  std::string address;  ///< The other entry host, IP:port.
  forwarding::ForwardKind kind = forwarding::ForwardKind::kShift;
  Duration time_left{0};
  std::size_t max_answer_bytes = 0;
  bool is_idempotent = false;
};

/// @brief Sends requests on to other entry hosts, and checks those that others
/// send. Safe to share between threads.
class HostForwarder {
 public:
  HostForwarder(HostName self,
                HttpClient& client,
                const IdempotencyGuard& keys,
                const ports::Clock& clock);

  /// @brief `done` runs once, on the client's thread. `kNotRun` in its result
  /// is proved: the other host said so, or nothing was sent to it.
  void Send(const Forwarding& forwarding, ResultCallback done);

  /// @return how an arriving request was forwarded, or nullopt when its proof
  /// does not hold.
  [[nodiscard]] std::optional<forwarding::ForwardClaim> Verify(
      const ServiceRequest& request) const;

  /// @return false when this proof of a shifted request came before.
  [[nodiscard]] bool AdmitOnce(const ServiceRequest& request);

 private:
  [[nodiscard]] ClientRequest MakeRequest(const Forwarding& forwarding) const;

  const HostName self_;
  HttpClient& client_;
  const IdempotencyGuard& keys_;
  const ports::Clock& clock_;
  std::mutex mutex_;
  forwarding::ForwardReplayGuard replays_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_HOST_FORWARDER_H_
