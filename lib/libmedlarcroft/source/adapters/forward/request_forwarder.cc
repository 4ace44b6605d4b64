#include "adapters/forward/request_forwarder.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace medlarcroft::adapters {

namespace {

using request_path::AttemptEnd;
using request_path::PassOn;
using request_path::RequestFailure;
using request_path::RequestTicket;
using request_path::SendAttempt;
using request_path::Step;

// A new connection takes one round trip. A lost SYN packet is retransmitted
// after one second, so a longer timeout than that gains little.
constexpr Duration kMinConnectTimeout = std::chrono::milliseconds(250);
constexpr int kConnectTimeoutRoundTrips = 4;
// If a target closes an idle connection while a request is sent on it, it is
// unknown whether the request ran, so a request that is not idempotent can't be
// retried. Servers keep idle connections open for seconds, so a connection that
// was in use a moment ago is safe.
constexpr Duration kMaxIdleIfNotRepeatable = std::chrono::milliseconds(2500);
constexpr Duration kMaxIdleIfRepeatable = std::chrono::seconds(8);

// Callers of a draining host can use another host at once.
constexpr Duration kRetryAfterWhenLeaving = std::chrono::milliseconds(50);

AttemptEnd AttemptEndOf(const ExchangeError& error) {
  if (error.is_proved_unsent) {
    return AttemptEnd::kNeverSent;
  }
  return error.failure == ExchangeFailure::kTimedOut ? AttemptEnd::kTimedOut
                                                     : AttemptEnd::kLost;
}

}  // namespace

RequestForwarder::~RequestForwarder() {
  for (auto& [ticket, active] : active_requests_) {
    parts_.loop.Cancel(active->request_timer);
    parts_.loop.Cancel(active->slow_attempt_timer);
    parts_.loop.Cancel(active->token_timer);
    active->exchange->OnCallerGone(nullptr);
  }
}

void RequestForwarder::OnRequest(
    HttpRequest call,
    const std::shared_ptr<HttpExchange>& exchange) {
  const MonotonicTime now = parts_.loop.Now();
  auto active = std::make_unique<ActiveRequest>();
  active->decoded = parts_.codec.Decode(call);
  active->trace.emplace(parts_.tracer, call, active->decoded.id);
  active->call = std::move(call);
  active->exchange = exchange;
  active->started_at = now;
  if (!is_accepting_) {
    End(*active, {.reason = request_path::FailureReason::kHostDraining,
                  .retry_after = kRetryAfterWhenLeaving});
    return;
  }
  active->start = parts_.path.Begin(active->decoded.request, now);
  const RequestTicket ticket = active->start.ticket;
  if (ticket == 0) {
    End(*active, std::get<RequestFailure>(active->start.step));
    return;
  }

  ActiveRequest& stored = *active;
  active_requests_.emplace(ticket, std::move(active));
  exchange->OnCallerGone([this, ticket] { OnCallerGone(ticket); });
  stored.request_timer = parts_.loop.After(
      stored.start.time_left, [this, ticket] { OnTimeout(ticket); });
  ExecuteStep(ticket, stored.start.step);
}

void RequestForwarder::ExecuteStep(RequestTicket ticket, const Step& step) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest& active = *found->second;
  if (const auto* const attempt = std::get_if<SendAttempt>(&step)) {
    Send(ticket, active, *attempt);
    return;
  }
  if (const auto* const wait = std::get_if<request_path::AwaitToken>(&step)) {
    active.token_timer = parts_.loop.After(
        wait->max_wait, [this, ticket] { OnTokenWaitOver(ticket); });
    return;
  }
  if (const auto* const pass_on = std::get_if<request_path::PassOn>(&step)) {
    ForwardResponse(active, *pass_on);
    Remove(ticket);
    return;
  }
  if (const auto* const failure = std::get_if<RequestFailure>(&step)) {
    End(active, *failure);
    Remove(ticket);
  }
}

void RequestForwarder::Send(RequestTicket ticket,
                            ActiveRequest& active,
                            const SendAttempt& attempt) {
  // Guards against sending what nobody waits for: a host that was held up reads
  // requests after their callers have left, and comes to the end of their
  // connections later. The targets worked on all of them.
  if (active.exchange->IsCallerGone()) {
    OnCallerGone(ticket);
    return;
  }
  parts_.telemetry.OnSend(active.lines, active.decoded.id, *active.start.route,
                          attempt);
  if (attempt.should_announce && parts_.on_placed) {
    parts_.on_placed(attempt.target, active.decoded.request.object);
  }
  active.trace->OnSend(attempt, active.call);
  OutboundRequest request;
  request.address = attempt.address;
  request.text = parts_.codec.EncodeAttempt(active.call, attempt);
  request.is_head_request = active.call.method == "HEAD";
  request.connect_timeout = std::max(
      kMinConnectTimeout, kConnectTimeoutRoundTrips * attempt.round_trip);
  // The timer of the whole request ends the exchange earlier.
  request.timeout = Duration(std::chrono::hours(1));
  request.max_idle =
      attempt.may_repeat ? kMaxIdleIfRepeatable : kMaxIdleIfNotRepeatable;
  request.is_matching_response =
      [this, id = active.decoded.id](const HttpResponse& answer) {
        return parts_.codec.IsResponseTo(answer, id);
      };
  request.on_connected = [this, region = attempt.region](Duration round_trip) {
    parts_.path.OnConnected(region, round_trip);
  };
  active.exchanges[attempt.attempt] = parts_.caller.Send(
      std::move(request), [this, ticket, attempt](ExchangeResult result) {
        OnResult(ticket, attempt, std::move(result));
      });
  if (attempt.hedge_after && active.slow_attempt_timer == 0) {
    active.slow_attempt_timer = parts_.loop.After(
        *attempt.hedge_after, [this, ticket] { OnSlow(ticket); });
  }
}

void RequestForwarder::OnResult(RequestTicket ticket,
                                const SendAttempt& attempt,
                                ExchangeResult result) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest& active = *found->second;
  active.exchanges.erase(attempt.attempt);
  const MonotonicTime now = parts_.loop.Now();
  AttemptEnd end = AttemptEnd::kLost;
  if (IsOk(result)) {
    const ClassifiedResponse classified =
        parts_.codec.ClassifyResponse(ValueOf(result));
    end = classified.end;
    if (classified.load) {
      parts_.path.OnReport(attempt.target, *classified.load, now);
      if (parts_.on_load_report) {
        parts_.on_load_report(attempt.target, *classified.load);
      }
    }
    if (end != AttemptEnd::kWrongTarget) {
      parts_.path.OnRateLimit(ticket, attempt.attempt, classified.rate_limit,
                              now);
    }
    active.answers[attempt.attempt] = TakeValue(std::move(result));
  } else {
    end = AttemptEndOf(ErrorOf(result));
    OnExchangeFailed(active, attempt, ErrorOf(result));
  }
  active.trace->OnAttemptEnd(attempt.attempt, end);
  parts_.telemetry.OnAttemptEnd(active.lines, active.decoded.id, attempt, end,
                                now - active.started_at);
  ExecuteStep(ticket,
              parts_.path.OnAttemptEnd(ticket, attempt.attempt, end, now));
}

void RequestForwarder::OnExchangeFailed(const ActiveRequest& active,
                                        const SendAttempt& attempt,
                                        const ExchangeError& error) {
  // The cause of one broken connection may have broken the idle connections to
  // the same address, too.
  parts_.caller.CloseIdleConnections(attempt.address);
  const bool is_connection_closed =
      error.failure == ExchangeFailure::kClosed ||
      error.failure == ExchangeFailure::kTruncated;
  if (is_connection_closed && !error.is_proved_unsent) {
    crash_probe_.Check(attempt.address,
                       {.id = active.decoded.id,
                        .fingerprint = active.decoded.request.fingerprint,
                        .target = attempt.target});
  }
}

void RequestForwarder::OnTokens(const ClientAccountName& account) {
  for (const auto& [ticket, step] :
       parts_.path.OnTokens(account, parts_.loop.Now())) {
    const auto found = active_requests_.find(ticket);
    if (found != active_requests_.end()) {
      parts_.loop.Cancel(std::exchange(found->second->token_timer, 0));
      ExecuteStep(ticket, step);
    }
  }
}

void RequestForwarder::OnTokenWaitOver(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  found->second->token_timer = 0;
  ExecuteStep(ticket, parts_.path.OnTokenWaitOver(ticket, parts_.loop.Now()));
}

void RequestForwarder::OnSlow(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  found->second->slow_attempt_timer = 0;
  ExecuteStep(ticket, parts_.path.OnSlow(ticket, parts_.loop.Now()));
}

void RequestForwarder::OnTimeout(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  found->second->request_timer = 0;
  End(*found->second, parts_.path.OnTimeout(ticket, parts_.loop.Now()));
  Remove(ticket);
}

void RequestForwarder::OnCallerGone(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  const MonotonicTime now = parts_.loop.Now();
  parts_.telemetry.OnCallerGone(found->second->lines, found->second->decoded.id,
                                *found->second->start.route,
                                now - found->second->started_at);
  parts_.path.OnCallerGone(ticket, now);
  Remove(ticket);
}

void RequestForwarder::ForwardResponse(ActiveRequest& active,
                                       const request_path::PassOn& pass_on) {
  HttpResponse& answer = active.answers.at(pass_on.attempt);
  active.trace->OnAnswer(answer.status);
  parts_.telemetry.OnAnswer(active.lines, active.decoded.id,
                            *active.start.route, answer.status,
                            parts_.loop.Now() - active.started_at);
  active.exchange->Respond(parts_.codec.ForwardResponse(std::move(answer)));
}

void RequestForwarder::End(ActiveRequest& active,
                           const RequestFailure& failure) {
  active.trace->OnEnding(failure);
  parts_.telemetry.OnEnding(active.lines, active.decoded, active.start, failure,
                            parts_.path.ConfigurationVersion(),
                            parts_.loop.Now() - active.started_at);
  active.exchange->Respond(
      parts_.codec.EncodeLocalResponse(failure, active.decoded.id));
}

void RequestForwarder::Remove(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  const std::unique_ptr<ActiveRequest> active = std::move(found->second);
  active_requests_.erase(found);
  parts_.loop.Cancel(active->request_timer);
  parts_.loop.Cancel(active->slow_attempt_timer);
  parts_.loop.Cancel(active->token_timer);
  for (const auto& [attempt, exchange] : active->exchanges) {
    parts_.caller.Cancel(exchange);
  }
}

}  // namespace medlarcroft::adapters
