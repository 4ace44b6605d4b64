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

// A new connection needs one round trip; a lost opening packet is sent again
// after a second, so a longer wait than that brings little.
constexpr Duration kLeastConnectTimeout = std::chrono::milliseconds(250);
constexpr int kConnectTimeoutRoundTrips = 4;
// Failure: a target drops an idle connection as a request is sent on it.
// Symptom: nothing tells whether the request ran, so one that is not idempotent
// can't be sent again. Servers keep connections for seconds, so one that was in
// use a moment ago is safe.
constexpr Duration kFreshIdle = std::chrono::milliseconds(2500);
constexpr Duration kAnyIdle = std::chrono::seconds(8);

// Callers of a host that leaves may go to another one at once.
constexpr Duration kReturnElsewhere = std::chrono::milliseconds(50);

AttemptEnd EndOf(const ExchangeError& error) {
  if (error.is_proved_unsent) {
    return AttemptEnd::kNeverSent;
  }
  return error.failure == ExchangeFailure::kTimedOut ? AttemptEnd::kTimedOut
                                                     : AttemptEnd::kLost;
}

}  // namespace

RequestForwarder::~RequestForwarder() {
  for (auto& [ticket, running] : running_) {
    parts_.loop.Cancel(running->timeout);
    parts_.loop.Cancel(running->slow);
    running->exchange->OnCallerGone(nullptr);
  }
}

void RequestForwarder::OnRequest(
    HttpRequest call,
    const std::shared_ptr<HttpExchange>& exchange) {
  const MonotonicTime now = parts_.loop.Now();
  auto running = std::make_unique<Running>();
  running->decoded = parts_.codec.Decode(call);
  running->trace.emplace(parts_.tracer, call, running->decoded.id);
  running->call = std::move(call);
  running->exchange = exchange;
  running->started_at = now;
  if (!is_taking_) {
    End(*running, {.reason = request_path::FailureReason::kHostDraining,
                   .retry_after = kReturnElsewhere});
    return;
  }
  running->begun = parts_.path.Begin(running->decoded.request, now);
  const RequestTicket ticket = running->begun.ticket;
  if (ticket == 0) {
    End(*running, std::get<RequestFailure>(running->begun.step));
    return;
  }

  Running& kept = *running;
  running_.emplace(ticket, std::move(running));
  exchange->OnCallerGone([this, ticket] { OnCallerGone(ticket); });
  kept.timeout = parts_.loop.After(kept.begun.time_left,
                                   [this, ticket] { OnTimeout(ticket); });
  Carry(ticket, kept.begun.step);
}

void RequestForwarder::Carry(RequestTicket ticket, const Step& step) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  Running& running = *found->second;
  if (const auto* const attempt = std::get_if<SendAttempt>(&step)) {
    Send(ticket, running, *attempt);
    return;
  }
  if (const auto* const pass_on = std::get_if<request_path::PassOn>(&step)) {
    PassOn(running, *pass_on);
    Forget(ticket);
    return;
  }
  if (const auto* const ending = std::get_if<RequestFailure>(&step)) {
    End(running, *ending);
    Forget(ticket);
  }
}

void RequestForwarder::Send(RequestTicket ticket,
                            Running& running,
                            const SendAttempt& attempt) {
  parts_.telemetry.OnSend(running.lines, running.decoded.id,
                          *running.begun.route, attempt);
  if (attempt.should_announce && parts_.on_placed) {
    parts_.on_placed(attempt.target, running.decoded.request.object);
  }
  running.trace->OnSend(attempt, running.call);
  OutboundRequest request;
  request.address = attempt.address;
  request.text = parts_.codec.EncodeAttempt(running.call, attempt);
  request.is_head_request = running.call.method == "HEAD";
  request.connect_timeout = std::max(
      kLeastConnectTimeout, kConnectTimeoutRoundTrips * attempt.round_trip);
  // The request's own timeout ends it.
  request.timeout = Duration(std::chrono::hours(1));
  request.max_idle = attempt.may_repeat ? kAnyIdle : kFreshIdle;
  request.is_matching_response =
      [this, id = running.decoded.id](const HttpResponse& answer) {
        return parts_.codec.IsOwnAnswer(answer, id);
      };
  request.on_connected = [this, region = attempt.region](Duration round_trip) {
    parts_.path.OnConnected(region, round_trip);
  };
  running.exchanges[attempt.attempt] = parts_.caller.Send(
      std::move(request), [this, ticket, attempt](ExchangeResult result) {
        OnResult(ticket, attempt, std::move(result));
      });
  if (attempt.hedge_after && running.slow == 0) {
    running.slow = parts_.loop.After(*attempt.hedge_after,
                                     [this, ticket] { OnSlow(ticket); });
  }
}

void RequestForwarder::OnResult(RequestTicket ticket,
                                const SendAttempt& attempt,
                                ExchangeResult result) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  Running& running = *found->second;
  running.exchanges.erase(attempt.attempt);
  const MonotonicTime now = parts_.loop.Now();
  AttemptEnd end = AttemptEnd::kLost;
  if (IsOk(result)) {
    const ClassifiedResponse judged = parts_.codec.Judge(ValueOf(result));
    end = judged.end;
    if (judged.load) {
      parts_.path.OnReport(attempt.target, *judged.load, now);
      if (parts_.on_report) {
        parts_.on_report(attempt.target, *judged.load);
      }
    }
    if (end != AttemptEnd::kWrongTarget) {
      parts_.path.OnRateLimit(ticket, attempt.attempt, judged.rate_limit, now);
    }
    running.answers[attempt.attempt] = TakeValue(std::move(result));
  } else {
    end = EndOf(ErrorOf(result));
    OnExchangeFailed(running, attempt, ErrorOf(result));
  }
  running.trace->OnAttemptEnd(attempt.attempt, end);
  parts_.telemetry.OnAttemptEnd(running.lines, running.decoded.id, attempt, end,
                                now - running.started_at);
  Carry(ticket, parts_.path.OnAttemptEnd(ticket, attempt.attempt, end, now));
}

void RequestForwarder::OnExchangeFailed(const Running& running,
                                        const SendAttempt& attempt,
                                        const ExchangeError& error) {
  // What broke one connection may have broken those that idle beside it.
  parts_.caller.CloseIdleConnections(attempt.address);
  const bool is_connection_closed =
      error.failure == ExchangeFailure::kClosed ||
      error.failure == ExchangeFailure::kTruncated;
  if (is_connection_closed && !error.is_proved_unsent) {
    crash_probe_.Check(attempt.address,
                       {.id = running.decoded.id,
                        .fingerprint = running.decoded.request.fingerprint,
                        .target = attempt.target});
  }
}

void RequestForwarder::OnSlow(RequestTicket ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  found->second->slow = 0;
  Carry(ticket, parts_.path.OnSlow(ticket, parts_.loop.Now()));
}

void RequestForwarder::OnTimeout(RequestTicket ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  found->second->timeout = 0;
  End(*found->second, parts_.path.OnTimeout(ticket, parts_.loop.Now()));
  Forget(ticket);
}

void RequestForwarder::OnCallerGone(RequestTicket ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  const MonotonicTime now = parts_.loop.Now();
  parts_.telemetry.OnCallerGone(found->second->lines, found->second->decoded.id,
                                *found->second->begun.route,
                                now - found->second->started_at);
  parts_.path.OnCallerGone(ticket);
  Forget(ticket);
}

void RequestForwarder::PassOn(Running& running,
                              const request_path::PassOn& pass_on) {
  HttpResponse& answer = running.answers.at(pass_on.attempt);
  running.trace->OnAnswer(answer.status);
  parts_.telemetry.OnAnswer(running.lines, running.decoded.id,
                            *running.begun.route, answer.status,
                            parts_.loop.Now() - running.started_at);
  running.exchange->Respond(parts_.codec.PassOn(std::move(answer)));
}

void RequestForwarder::End(Running& running, const RequestFailure& ending) {
  running.trace->OnEnding(ending);
  parts_.telemetry.OnEnding(running.lines, running.decoded,
                            running.begun.route.get(), ending,
                            parts_.path.ConfigurationVersion(),
                            parts_.loop.Now() - running.started_at);
  running.exchange->Respond(
      parts_.codec.EncodeEnding(ending, running.decoded.id));
}

void RequestForwarder::Forget(RequestTicket ticket) {
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return;
  }
  const std::unique_ptr<Running> running = std::move(found->second);
  running_.erase(found);
  parts_.loop.Cancel(running->timeout);
  parts_.loop.Cancel(running->slow);
  for (const auto& [attempt, exchange] : running->exchanges) {
    parts_.caller.Cancel(exchange);
  }
}

}  // namespace medlarcroft::adapters
