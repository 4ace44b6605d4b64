#ifndef MEDLARCROFT_ADAPTERS_FORWARD_RELAY_HANDLER_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_RELAY_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_listener.h"
#include "adapters/forward/relay_protocol.h"
#include "adapters/forward/request_codec.h"
#include "medlarcroft/request_path/relay_limit.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/request_path/target_reach.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

/// @brief Sends to targets for hosts that are cut off from them. Decides
/// nothing about the request, which the other host has admitted and placed, but
/// sends only to a target that this host would use itself.
class RelayHandler final : public HttpRequestHandler {
 public:
  struct Parts {
    EventLoop& loop;
    EventHttpClient& caller;
    const RequestCodec& codec;
    request_path::TargetDirectory& targets;
    const request_path::TargetReach& reach;
    telemetry::MetricsRegistry& metrics;
    /// What relays show of this host's own reach.
    std::function<void()> on_connected;
    std::function<void(const request_path::TargetIdentity&)> on_connect_failed;
    /// What a target said about itself in response to the request with the ID.
    std::function<void(const request_path::TargetIdentity&,
                       const request_path::TargetNotice&,
                       const std::string& request)>
        on_notice;
    /// Relays at once, from what memory allows.
    std::size_t max_in_flight = 0;
  };

  explicit RelayHandler(const Parts& parts);
  ~RelayHandler() override;

  void OnRequest(HttpRequest call,
                 const std::shared_ptr<HttpExchange>& exchange) override;
  /// The other host can ask a third one: nothing was sent.
  void OnGaveWay(const HttpRequest& head,
                 const std::shared_ptr<HttpExchange>& exchange) override;

  /// @brief This host shuts down: each relay in hand is answered by `due`.
  void AnswerBy(MonotonicTime due);
  /// @brief Refuses all new relays from now on, since this host shuts down.
  void StopAccepting() { is_accepting_ = false; }
  [[nodiscard]] std::size_t InFlight() const { return in_flight_.size(); }

 private:
  struct Relay {
    std::shared_ptr<HttpExchange> exchange;
    request_path::TargetIdentity target;
    /// In the latest response, which may not be complete yet.
    request_path::TargetNotice notice;
    ExchangeId sent = 0;
  };

  /// @return why this host sends for no other one now; nullopt: it does.
  [[nodiscard]] std::optional<RelayEnd> RefusalNow() const;
  void Send(RelayRequest relay,
            const std::string& address,
            const std::shared_ptr<HttpExchange>& exchange);
  void OnResult(std::uint64_t number,
                const std::string& address,
                ExchangeResult result);
  void OnHead(std::uint64_t number,
              const request_path::TargetIdentity& target,
              const std::string& request,
              const HttpResponse& head);
  /// @brief Gives up a relay that is not sent yet, if its target must get no
  /// requests any more.
  void EndIfNotAllowed(std::uint64_t number);
  void OnRequesterGone(std::uint64_t number);
  /// @brief Observes whether this host keeps up, and whether others still wait
  /// for what it sent, while it relays.
  void StartTicking();
  void Tick();
  void EndAbandonedRelays();
  /// @brief Ends relays whose targets have not answered before the end of this
  /// host.
  void EndAll();
  void Fail(HttpExchange& exchange,
            RelayEnd end,
            const request_path::TargetNotice& notice = {});
  void Count(RelayEnd end);

  Parts parts_;
  request_path::RelayLimit limit_;
  bool is_accepting_ = true;
  TimerId tick_timer_ = 0;
  TimerId end_timer_ = 0;
  std::uint64_t last_relay_ = 0;
  std::unordered_map<std::uint64_t, Relay> in_flight_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_RELAY_HANDLER_H_
