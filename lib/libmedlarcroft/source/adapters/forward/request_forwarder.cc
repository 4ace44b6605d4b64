#include "adapters/forward/request_forwarder.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "adapters/forward/target_connections.h"

namespace medlarcroft::adapters {

namespace {

using request_path::AttemptEnd;
using request_path::AttemptNumber;
using request_path::PassOn;
using request_path::RequestFailure;
using request_path::RequestTicket;
using request_path::SendAttempt;
using request_path::Step;

// Clients that read nothing are given up within seconds; until then other hosts
// have room.
constexpr Duration kRetryAfterWithoutRoom = std::chrono::milliseconds(500);
// Larger bodies are held once, whoever sends them. Smaller ones are copied
// behind the head, so that both are sent at once.
constexpr std::size_t kApartBytes = std::size_t{64} * 1024;

AttemptEnd AttemptEndOf(const RelayResult& result) {
  switch (result.end) {
    case RelayEnd::kRefused:
    case RelayEnd::kBusy:
    case RelayEnd::kCutOff:
      return AttemptEnd::kNoHelper;
    case RelayEnd::kNotSent:
    case RelayEnd::kNotAllowed:
      return AttemptEnd::kNeverSent;
    case RelayEnd::kTimedOut:
      return result.is_stated ? AttemptEnd::kTimedOut : AttemptEnd::kHelperLost;
    case RelayEnd::kAnswered:
    case RelayEnd::kLost:
      break;
  }
  return result.is_stated ? AttemptEnd::kLost : AttemptEnd::kHelperLost;
}

AttemptEnd AttemptEndOf(const ExchangeError& error) {
  if (error.is_proved_unsent) {
    return AttemptEnd::kNeverSent;
  }
  return error.failure == ExchangeFailure::kTimedOut ? AttemptEnd::kTimedOut
                                                     : AttemptEnd::kLost;
}

}  // namespace

// Guards against bodies that are read, and take memory, only to be refused: the
// head says all that is needed.
bool RequestForwarder::NeedsBody(const HttpRequest& head) {
  const DecodedRequest decoded = parts_.codec.Decode(head);
  return is_accepting_ && parts_.has_room() &&
         parts_.path.IsRouted(decoded.request);
}

void RequestForwarder::OnGaveWay(
    const HttpRequest& head,
    const std::shared_ptr<HttpExchange>& exchange) {
  const MonotonicTime now = parts_.loop.Now();
  ActiveRequest active;
  active.decoded = parts_.codec.Decode(head);
  active.trace.emplace(parts_.tracer, head, active.decoded.id);
  active.exchange = exchange;
  active.started_at = now;
  exchange->Identify(active.decoded.id, now);
  End(active, {.reason = request_path::FailureReason::kNoMemory,
               .retry_after = kRetryAfterWithoutRoom});
}

void RequestForwarder::HoldApart(ActiveRequest& active) {
  HttpRequest& call = active.call;
  if (call.body.size() < kApartBytes) {
    return;
  }
  call.body_apart = call.body.size();
  active.body = std::make_shared<HeldBytes>(HeldBytes{
      .bytes = std::exchange(call.body, {}), .lease = std::move(call.lease)});
}

void RequestForwarder::OnAnswerBegun(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end() || !found->second->body ||
      !found->second->body->lease) {
    return;
  }
  found->second->body->lease->SetKind(
      resources::HolderKind::kRepeat,
      {.give_way = [this, ticket](resources::GiveWayReason) {
        const auto active = active_requests_.find(ticket);
        if (active != active_requests_.end()) {
          active->second->body.reset();
        }
      }});
}

RequestForwarder::~RequestForwarder() {
  parts_.loop.Cancel(caller_check_timer_);
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
  HoldApart(*active);
  active->exchange = exchange;
  active->started_at = now;
  if (!is_accepting_) {
    exchange->Identify(active->decoded.id, now);
    End(*active, {.reason = request_path::FailureReason::kHostDraining,
                  .retry_after = request_path::kRetryAfterWhenLeaving});
    return;
  }
  if (!parts_.has_room()) {
    exchange->Identify(active->decoded.id, now);
    End(*active, {.reason = request_path::FailureReason::kSlowCallers,
                  .retry_after = kRetryAfterWithoutRoom});
    return;
  }
  active->start = parts_.path.Begin(active->decoded.request, now);
  const RequestTicket ticket = active->start.ticket;
  exchange->Identify(active->decoded.id, now + active->start.time_left);
  if (ticket == 0) {
    End(*active, std::get<RequestFailure>(active->start.step));
    return;
  }

  ActiveRequest& stored = *active;
  active_requests_.emplace(ticket, std::move(active));
  exchange->OnCallerGone([this, ticket] { OnCallerGone(ticket); });
  stored.request_timer = parts_.loop.After(
      stored.start.time_left, [this, ticket] { OnTimeout(ticket); });
  StartCallerChecks();
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
  if (EndIfCallerGone(ticket)) {
    return;
  }
  if (active.call.body_apart > 0 && !active.body) {
    // Others needed its room while the target answered.
    End(active, parts_.path.OnTimeout(ticket, parts_.loop.Now()));
    Remove(ticket);
    return;
  }
  parts_.telemetry.OnSend(active.lines, active.decoded.id, *active.start.route,
                          attempt);
  if (attempt.should_announce && parts_.on_placed) {
    parts_.on_placed(attempt.target, active.decoded.request.object);
  }
  active.trace->OnSend(attempt, active.call);
  active.last_attempt = attempt.attempt;
  if (attempt.helper_regions.empty()) {
    SendDirectly(ticket, active, attempt);
  } else {
    SendThroughHelper(ticket, active, attempt);
  }
  if (attempt.hedge_after && active.slow_attempt_timer == 0) {
    active.slow_attempt_timer = parts_.loop.After(
        *attempt.hedge_after, [this, ticket] { OnSlow(ticket); });
  }
}

void RequestForwarder::SendDirectly(RequestTicket ticket,
                                    ActiveRequest& active,
                                    const SendAttempt& attempt) {
  OutboundRequest request;
  request.address = attempt.address;
  request.text = parts_.codec.EncodeAttempt(active.call, attempt);
  request.body = active.body;
  request.is_head_request = active.call.method == "HEAD";
  request.connect_timeout = ConnectTimeout(attempt.round_trip);
  // The timer of the whole request ends the exchange earlier.
  request.timeout = Duration(std::chrono::hours(1));
  request.max_idle = MaxIdleBeforeSend(attempt.may_repeat);
  request.id = active.decoded.id;
  request.identify = [this,
                      id = active.decoded.id](const HttpResponse& answer) {
    return parts_.codec.IdentifyResponse(answer, id);
  };
  request.unnamed_patience = attempt.unnamed_patience;
  request.on_head = [this, ticket, target = attempt.target,
                     id = active.decoded.id](const HttpResponse& head) {
    OnAnswerBegun(ticket);
    const request_path::TargetNotice notice = parts_.codec.ReadNotice(head);
    if (!notice.IsEmpty()) {
      parts_.path.OnNotice(target, notice, id, parts_.loop.Now());
    }
  };
  request.on_connected = [this, ticket, attempt](Duration round_trip) {
    parts_.path.OnConnected(attempt.region, round_trip, parts_.loop.Now());
    if (!EndIfCallerGone(ticket)) {
      EndIfTargetUnwilling(ticket, attempt);
    }
  };
  const ExchangeId exchange = parts_.caller.Send(
      std::move(request), [this, ticket, attempt](ExchangeResult result) {
        OnResult(ticket, attempt, std::move(result));
      });
  active.pending[attempt.attempt] = {
      .catch_up = [this, exchange] { parts_.caller.CatchUp(exchange); },
      .cancel = [this, exchange] { parts_.caller.Cancel(exchange); }};
}

void RequestForwarder::SendThroughHelper(RequestTicket ticket,
                                         ActiveRequest& active,
                                         const SendAttempt& attempt) {
  const std::uint64_t relay = parts_.relays.Send(
      {.id = active.decoded.id,
       .target = attempt.target,
       .time_left = attempt.time_left,
       .may_repeat = attempt.may_repeat,
       .is_head_request = active.call.method == "HEAD",
       .body = active.body},
      attempt.helper_regions,
      {.encode =
           [this, &active, attempt](Duration time_left) {
             SendAttempt relayed = attempt;
             relayed.time_left = std::min(relayed.time_left, time_left);
             return parts_.codec.EncodeAttempt(active.call, relayed);
           },
       .cancel_if_unwanted =
           [this, ticket, attempt] {
             return EndIfCallerGone(ticket) ||
                    EndIfTargetUnwilling(ticket, attempt);
           },
       .on_notice =
           [this, target = attempt.target,
            id = active.decoded.id](const request_path::TargetNotice& notice) {
             parts_.path.OnNotice(target, notice, id, parts_.loop.Now());
           },
       .on_end =
           [this, ticket, attempt](RelayResult result) {
             OnRelayResult(ticket, attempt, std::move(result));
           }});
  active.pending[attempt.attempt] = {
      .catch_up = [this, relay] { parts_.relays.CatchUp(relay); },
      .cancel = [this, relay] { parts_.relays.Cancel(relay); }};
}

// Guards against requests that reach a target after it asked for rest or said
// that it leaves: a request that was placed before may wait for its connection
// for hundreds of milliseconds. It goes to another target instead.
bool RequestForwarder::EndIfTargetUnwilling(RequestTicket ticket,
                                            const SendAttempt& attempt) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end() ||
      parts_.path.MaySend(ticket, attempt.target, parts_.loop.Now())) {
    return false;
  }
  ActiveRequest& active = *found->second;
  const auto send = active.pending.extract(attempt.attempt);
  if (!send.empty()) {
    send.mapped().cancel();
  }
  EndAttempt(ticket, active, attempt, AttemptEnd::kWithheld);
  return true;
}

void RequestForwarder::OnResult(RequestTicket ticket,
                                const SendAttempt& attempt,
                                ExchangeResult result) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest& active = *found->second;
  if (IsOk(result)) {
    EndAttempt(
        ticket, active, attempt,
        AcceptAnswer(ticket, active, attempt, TakeValue(std::move(result))));
    return;
  }
  const ExchangeError& error = ErrorOf(result);
  OnExchangeFailed(active, attempt, error);
  active.proofs[attempt.attempt] = {
      .status = error.status,
      .connection = {.is_reused = error.was_connection_reused,
                     .earlier_responses = error.earlier_responses}};
  EndAttempt(ticket, active, attempt, AttemptEndOf(error));
}

void RequestForwarder::OnRelayResult(RequestTicket ticket,
                                     const SendAttempt& attempt,
                                     RelayResult result) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  ActiveRequest& active = *found->second;
  if (result.end == RelayEnd::kAnswered) {
    parts_.path.OnRelayed();
    EndAttempt(
        ticket, active, attempt,
        AcceptAnswer(ticket, active, attempt, std::move(result.response)));
    return;
  }
  EndAttempt(ticket, active, attempt, AttemptEndOf(result));
}

AttemptEnd RequestForwarder::AcceptAnswer(RequestTicket ticket,
                                          ActiveRequest& active,
                                          const SendAttempt& attempt,
                                          ExchangeResponse answer) {
  const MonotonicTime now = parts_.loop.Now();
  const ClassifiedResponse classified =
      parts_.codec.ClassifyResponse(answer, attempt.target);
  if (classified.load) {
    parts_.path.OnReport(attempt.target, *classified.load, now);
    // A target that turns this host away would look idle to the others.
    if (parts_.on_load_report && !parts_.path.IsResting(attempt.target, now)) {
      parts_.on_load_report(attempt.target, *classified.load);
    }
  }
  if (classified.end != AttemptEnd::kWrongTarget) {
    parts_.path.OnRateLimit(ticket, attempt.attempt, classified.rate_limit,
                            now);
  }
  active.proofs[attempt.attempt] = {.status = answer.status,
                                    .has_id = classified.has_id,
                                    .connection = answer.connection};
  active.answers[attempt.attempt] = std::move(answer);
  return classified.end;
}

void RequestForwarder::EndAttempt(RequestTicket ticket,
                                  ActiveRequest& active,
                                  const SendAttempt& attempt,
                                  AttemptEnd end) {
  const MonotonicTime now = parts_.loop.Now();
  active.pending.erase(attempt.attempt);
  active.trace->OnAttemptEnd(attempt.attempt, end);
  const auto proof = active.proofs.find(attempt.attempt);
  parts_.telemetry.OnAttemptEnd(
      active.lines, active.decoded.id, attempt, end, now - active.started_at,
      proof == active.proofs.end() ? std::nullopt
                                   : std::optional(proof->second));
  ExecuteStep(ticket,
              parts_.path.OnAttemptEnd(ticket, attempt.attempt, end, now));
}

void RequestForwarder::OnExchangeFailed(ActiveRequest& active,
                                        const SendAttempt& attempt,
                                        const ExchangeError& error) {
  // The cause of one broken connection may have broken the idle connections to
  // the same address, too.
  parts_.caller.CloseIdleConnections(attempt.address);
  if (error.failure == ExchangeFailure::kCannotConnect) {
    parts_.path.OnConnectFailed(attempt.target, parts_.loop.Now());
  }
  const bool is_connection_closed =
      error.failure == ExchangeFailure::kClosed ||
      error.failure == ExchangeFailure::kTruncated;
  if (is_connection_closed && !error.is_proved_unsent) {
    CheckForCrash(active, attempt);
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

// Guards against answers that are there and not passed on, and against sends
// that repeat what is answered: a host that was held up comes to its timers
// before it comes to the answers.
bool RequestForwarder::CatchUp(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return false;
  }
  const AttemptNumber last = found->second->last_attempt;
  const auto pending = found->second->pending;
  for (const auto& [attempt, send] : pending) {
    send.catch_up();
  }
  const auto still = active_requests_.find(ticket);
  return still != active_requests_.end() && still->second->last_attempt == last;
}

void RequestForwarder::OnSlow(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  found->second->slow_attempt_timer = 0;
  if (!CatchUp(ticket)) {
    return;
  }
  ExecuteStep(ticket, parts_.path.OnSlow(ticket, parts_.loop.Now()));
}

void RequestForwarder::OnTimeout(RequestTicket ticket) {
  const auto found = active_requests_.find(ticket);
  if (found == active_requests_.end()) {
    return;
  }
  found->second->request_timer = 0;
  (void)CatchUp(ticket);
  const auto still = active_requests_.find(ticket);
  if (still == active_requests_.end()) {
    return;
  }
  End(*still->second, parts_.path.OnTimeout(ticket, parts_.loop.Now()));
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
  for (const auto& [attempt, send] : active->pending) {
    send.cancel();
  }
}

}  // namespace medlarcroft::adapters
