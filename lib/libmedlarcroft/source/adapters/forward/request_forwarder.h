#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_FORWARDER_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_FORWARDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "adapters/event/event_http_client.h"
#include "adapters/event/http_listener.h"
#include "adapters/forward/crash_probe.h"
#include "adapters/forward/relay_sender.h"
#include "adapters/forward/request_codec.h"
#include "adapters/forward/request_telemetry.h"
#include "adapters/forward/request_trace.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::adapters {

/// @brief Executes the decisions of `RequestPath`: accepts callers' requests,
/// sends them to targets and returns the responses.
class RequestForwarder final : public HttpRequestHandler {
 public:
  struct Parts {
    EventLoop& loop;
    EventHttpClient& caller;
    request_path::RequestPath& path;
    const RequestCodec& codec;
    RequestTelemetry& telemetry;
    telemetry::Tracer& tracer;
    /// Called when an object is sent to a target to which it was not sent
    /// recently.
    std::function<void(const request_path::TargetIdentity& target,
                       const std::string& object)>
        on_placed;
    /// Called with the load that a target's response reports.
    std::function<void(const request_path::TargetIdentity&,
                       const request_path::LoadReport&)>
        on_load_report;
    /// Called for each send whose target crashed.
    CrashProbe::OnCrash on_crash;
    /// @return whether there is memory for another answer.
    std::function<bool()> has_room = [] { return true; };
    /// Sends while this host is cut off from the targets.
    RelaySender& relays;
  };

  explicit RequestForwarder(Parts parts)
      : parts_(std::move(parts)),
        crash_probe_(parts_.loop, [this](const InterruptedSend& interrupted) {
          OnTargetRefused(interrupted);
        }) {}
  ~RequestForwarder() override;

  void OnRequest(HttpRequest call,
                 const std::shared_ptr<HttpExchange>& exchange) override;
  [[nodiscard]] bool NeedsBody(const HttpRequest& head) override;
  void OnGaveWay(const HttpRequest& head,
                 const std::shared_ptr<HttpExchange>& exchange) override;
  [[nodiscard]] std::string RequestNameOf(const HttpRequest& head) override {
    return parts_.codec.Decode(head).id;
  }

  /// @brief Continues requests of the account that waited for a token.
  void OnTokens(const ClientAccountName& account);

  /// @brief This host shuts down: each request gets its response by `due`.
  void AnswerBy(MonotonicTime due);
  /// @brief Rejects all new requests from now on, since this host shuts down.
  void StopAcceptingRequests() { is_accepting_ = false; }

  [[nodiscard]] std::size_t InFlight() const { return active_requests_.size(); }

 private:
  /// @brief A send that has not ended.
  struct PendingSend {
    /// Takes in what has arrived for it, which may end it and its request.
    std::function<void()> catch_up;
    std::function<void()> cancel;
  };
  struct ActiveRequest {
    DecodedRequest decoded;
    HttpRequest call;
    /// A large body, held once for all sends; null once others needed the room.
    std::shared_ptr<HeldBytes> body;
    std::optional<RequestTrace> trace;
    RequestLogBuffer lines;
    std::shared_ptr<HttpExchange> exchange;
    request_path::RequestStart start;
    MonotonicTime started_at;
    TimerId request_timer = 0;
    TimerId slow_attempt_timer = 0;
    TimerId token_timer = 0;
    /// By attempt.
    std::map<request_path::AttemptNumber, PendingSend> pending;
    /// Complete responses that are not forwarded yet, by attempt.
    std::map<request_path::AttemptNumber, HttpResponse> answers;
    /// Of the responses, by attempt.
    std::map<request_path::AttemptNumber, ResponseProof> proofs;
    request_path::AttemptNumber last_attempt = 0;
    /// When a send was interrupted last, and the latest send at that time.
    std::optional<MonotonicTime> interrupted_at;
    request_path::AttemptNumber attempt_at_interruption = 0;
  };
  using ActiveRequests = std::unordered_map<request_path::RequestTicket,
                                            std::unique_ptr<ActiveRequest>>;

  /// @brief Lets a large body be sent by several sends without copies.
  static void HoldApart(ActiveRequest& active);
  /// @brief The target has begun to answer: only a repeat needs the body.
  void OnAnswerBegun(request_path::RequestTicket ticket);
  void ExecuteStep(request_path::RequestTicket ticket,
                   const request_path::Step& step);
  /// @brief Looks for callers that have left, while there are requests.
  void StartCallerChecks();
  void CheckCallers();
  /// @brief Ends a request whose caller has left, also when the event loop has
  /// not come to notice that.
  /// @return whether it ended, which invalidates its `ActiveRequest`.
  bool EndIfCallerGone(request_path::RequestTicket ticket);
  /// @brief Ends an attempt that is not sent yet if its target must get no
  /// requests any more, since it was placed.
  /// @return whether it ended, which may invalidate its `ActiveRequest`.
  bool EndIfTargetUnwilling(request_path::RequestTicket ticket,
                            const request_path::SendAttempt& attempt);
  void Send(request_path::RequestTicket ticket,
            ActiveRequest& active,
            const request_path::SendAttempt& attempt);
  void SendDirectly(request_path::RequestTicket ticket,
                    ActiveRequest& active,
                    const request_path::SendAttempt& attempt);
  void SendThroughHelper(request_path::RequestTicket ticket,
                         ActiveRequest& active,
                         const request_path::SendAttempt& attempt);
  void OnResult(request_path::RequestTicket ticket,
                const request_path::SendAttempt& attempt,
                ExchangeResult result);
  void OnRelayResult(request_path::RequestTicket ticket,
                     const request_path::SendAttempt& attempt,
                     RelayResult result);
  /// @brief Keeps the target's answer until it is forwarded.
  /// @return how the attempt ended.
  [[nodiscard]] request_path::AttemptEnd AcceptAnswer(
      request_path::RequestTicket ticket,
      ActiveRequest& active,
      const request_path::SendAttempt& attempt,
      ExchangeResponse answer);
  void EndAttempt(request_path::RequestTicket ticket,
                  ActiveRequest& active,
                  const request_path::SendAttempt& attempt,
                  request_path::AttemptEnd end);
  void OnExchangeFailed(ActiveRequest& active,
                        const request_path::SendAttempt& attempt,
                        const ExchangeError& error);
  /// @brief Finds out whether the target of a send that was interrupted has
  /// crashed.
  void CheckForCrash(ActiveRequest& active,
                     const request_path::SendAttempt& attempt);
  /// @brief Reports a crash, unless this host turns out to be cut off.
  void OnTargetRefused(const InterruptedSend& interrupted);
  /// @brief Takes in what has arrived for a request before a timer judges it.
  /// @return whether the request still waits, and its send may be judged.
  [[nodiscard]] bool CatchUp(request_path::RequestTicket ticket);
  void OnTokenWaitOver(request_path::RequestTicket ticket);
  void OnSlow(request_path::RequestTicket ticket);
  void OnTimeout(request_path::RequestTicket ticket);
  void OnCallerGone(request_path::RequestTicket ticket);
  void ForwardResponse(ActiveRequest& active,
                       const request_path::PassOn& pass_on);
  void End(ActiveRequest& active, const request_path::RequestFailure& failure);
  /// @brief Removes a request, and cancels its timers and pending exchanges.
  void Remove(request_path::RequestTicket ticket);

  Parts parts_;
  CrashProbe crash_probe_;
  bool is_accepting_ = true;
  ActiveRequests active_requests_;
  TimerId caller_check_timer_ = 0;
  /// Released with this object: a timer that fires later finds it gone.
  std::shared_ptr<RequestForwarder*> alive_ =
      std::make_shared<RequestForwarder*>(this);
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_FORWARDER_H_
