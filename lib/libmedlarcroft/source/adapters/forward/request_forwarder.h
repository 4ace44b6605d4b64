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
#include "adapters/forward/request_codec.h"
#include "adapters/forward/request_telemetry.h"
#include "adapters/forward/request_trace.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::adapters {

/// @brief Carries out what RequestPath decides: takes callers' requests, sends
/// them to targets, and gives each its answer.
class RequestForwarder final : public HttpRequestHandler {
 public:
  struct Parts {
    EventLoop& loop;
    EventHttpClient& caller;
    request_path::RequestPath& path;
    const RequestCodec& codec;
    RequestTelemetry& telemetry;
    telemetry::Tracer& tracer;
    /// Told when an object was sent to a target, unless it was lately.
    std::function<void(const request_path::TargetIdentity& target,
                       const std::string& object)>
        on_placed;
    /// Told the load that a target's answer reported.
    std::function<void(const request_path::TargetIdentity&,
                       const request_path::LoadReport&)>
        on_report;
    /// Called for each send whose target crashed.
    CrashProbe::OnCrash on_crash;
  };

  explicit RequestForwarder(Parts parts)
      : parts_(std::move(parts)),
        crash_probe_(parts_.loop, [this](const InterruptedSend& broken) {
          if (parts_.on_crash) {
            parts_.on_crash(broken);
          }
        }) {}
  ~RequestForwarder() override;

  void OnRequest(HttpRequest call,
                 const std::shared_ptr<HttpExchange>& exchange) override;

  /// @brief From now on every new request is refused: this host leaves.
  void StopTaking() { is_taking_ = false; }

  [[nodiscard]] std::size_t InFlight() const { return running_.size(); }

 private:
  struct Running {
    DecodedRequest decoded;
    HttpRequest call;
    std::optional<RequestTrace> trace;
    RequestLogBuffer lines;
    std::shared_ptr<HttpExchange> exchange;
    request_path::RequestStart begun;
    MonotonicTime started_at;
    TimerId timeout = 0;
    TimerId slow = 0;
    std::map<request_path::AttemptNumber, ExchangeId> exchanges;
    /// Whole answers that were not passed on yet, by attempt.
    std::map<request_path::AttemptNumber, HttpResponse> answers;
  };
  using RunningRequests =
      std::unordered_map<request_path::RequestTicket, std::unique_ptr<Running>>;

  void Carry(request_path::RequestTicket ticket,
             const request_path::Step& step);
  void Send(request_path::RequestTicket ticket,
            Running& running,
            const request_path::SendAttempt& attempt);
  void OnResult(request_path::RequestTicket ticket,
                const request_path::SendAttempt& attempt,
                ExchangeResult result);
  void OnExchangeFailed(const Running& running,
                        const request_path::SendAttempt& attempt,
                        const ExchangeError& error);
  void OnSlow(request_path::RequestTicket ticket);
  void OnTimeout(request_path::RequestTicket ticket);
  void OnCallerGone(request_path::RequestTicket ticket);
  void PassOn(Running& running, const request_path::PassOn& pass_on);
  void End(Running& running, const request_path::RequestFailure& ending);
  /// @brief Forgets a request and ends what is still under way for it.
  void Forget(request_path::RequestTicket ticket);

  Parts parts_;
  CrashProbe crash_probe_;
  bool is_taking_ = true;
  RunningRequests running_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_FORWARDER_H_
