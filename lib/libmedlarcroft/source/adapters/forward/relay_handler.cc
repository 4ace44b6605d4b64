#include "adapters/forward/relay_handler.h"

#include <utility>
#include <vector>

#include "adapters/forward/target_connections.h"

namespace medlarcroft::adapters {

namespace {

using telemetry::Label;

constexpr telemetry::MetricDescription kRelaysForOthers = {
    "medlar_relays_for_others_total",
    "Sends that this host made for other hosts, by how they ended."};

RelayEnd EndOfFailure(const ExchangeError& error) {
  if (error.is_proved_unsent) {
    return RelayEnd::kNotSent;
  }
  return error.failure == ExchangeFailure::kTimedOut ? RelayEnd::kTimedOut
                                                     : RelayEnd::kLost;
}

}  // namespace

RelayHandler::RelayHandler(const Parts& parts)
    : parts_(parts), limit_(parts.max_in_flight) {}

RelayHandler::~RelayHandler() {
  parts_.loop.Cancel(tick_timer_);
  parts_.loop.Cancel(end_timer_);
  for (auto& [number, relay] : in_flight_) {
    relay.exchange->OnCallerGone(nullptr);
    parts_.caller.Cancel(relay.sent);
  }
}

void RelayHandler::StartTicking() {
  if (tick_timer_ == 0) {
    limit_.Start(parts_.loop.Now());
    tick_timer_ = parts_.loop.After(request_path::RelayLimit::kTickPeriod,
                                    [this] { Tick(); });
  }
}

void RelayHandler::Tick() {
  tick_timer_ = 0;
  limit_.OnTick(parts_.loop.Now());
  EndAbandonedRelays();
  if (!in_flight_.empty()) {
    tick_timer_ = parts_.loop.After(request_path::RelayLimit::kTickPeriod,
                                    [this] { Tick(); });
  }
}

// A host that is cut off itself would only pass the failure on, and one that
// has too much to do would serve its own callers late. Either way nothing is
// sent, so the other host can ask a third one.
std::optional<RelayEnd> RelayHandler::RefusalNow() const {
  if (!is_accepting_) {
    return RelayEnd::kRefused;
  }
  if (parts_.reach.IsCutOff()) {
    return RelayEnd::kCutOff;
  }
  if (!limit_.Admits(in_flight_.size(), parts_.loop.Now())) {
    return RelayEnd::kBusy;
  }
  return std::nullopt;
}

void RelayHandler::OnGaveWay(const HttpRequest& /*head*/,
                             const std::shared_ptr<HttpExchange>& exchange) {
  Fail(*exchange, RelayEnd::kBusy);
}

void RelayHandler::OnRequest(HttpRequest call,
                             const std::shared_ptr<HttpExchange>& exchange) {
  auto relay = DecodeRelayRequest(std::move(call));
  if (!relay) {
    exchange->Respond({.status = 400});
    return;
  }
  exchange->Identify(relay->id, parts_.loop.Now() + relay->time_left);
  if (const auto refusal = RefusalNow()) {
    Fail(*exchange, *refusal);
    return;
  }
  // The other host may not have heard that the target leaves or rests, that its
  // domain is evacuated, or that another process has its address.
  const std::optional<std::string> address =
      parts_.targets.FindUsableAddress(relay->target, parts_.loop.Now());
  if (!address) {
    Fail(*exchange, RelayEnd::kNotAllowed);
    return;
  }
  // Nobody waits for it: the other host gave it up while this one was busy.
  if (exchange->IsCallerGone()) {
    return;
  }
  Send(std::move(*relay), *address, exchange);
}

void RelayHandler::Send(RelayRequest relay,
                        const std::string& address,
                        const std::shared_ptr<HttpExchange>& exchange) {
  const std::uint64_t number = ++last_relay_;
  OutboundRequest request;
  request.address = address;
  request.body = std::make_shared<HeldBytes>(HeldBytes{
      .bytes = std::move(relay.text), .lease = std::move(relay.lease)});
  request.is_head_request = relay.is_head_request;
  request.connect_timeout = kMaxRelayConnectTime;
  request.timeout = relay.time_left;
  request.max_idle = MaxIdleBeforeSend(relay.may_repeat);
  request.on_head = [this, number, target = relay.target,
                     id = relay.id](const HttpResponse& head) {
    OnHead(number, target, id, head);
  };
  request.id = relay.id;
  request.identify = [this,
                      id = std::move(relay.id)](const HttpResponse& answer) {
    return parts_.codec.IdentifyResponse(answer, id);
  };
  // The other host may have given it up while this one was busy.
  request.on_connected = [this, number](Duration) {
    parts_.on_connected();
    const auto relay = in_flight_.find(number);
    if (relay != in_flight_.end() && relay->second.exchange->IsCallerGone()) {
      OnRequesterGone(number);
    }
    EndIfNotAllowed(number);
  };
  const ExchangeId sent = parts_.caller.Send(
      std::move(request), [this, number, address](ExchangeResult result) {
        OnResult(number, address, std::move(result));
      });
  in_flight_.emplace(number, Relay{.exchange = exchange,
                                   .target = std::move(relay.target),
                                   .sent = sent});
  exchange->OnCallerGone([this, number] { OnRequesterGone(number); });
  StartTicking();
}

void RelayHandler::OnResult(std::uint64_t number,
                            const std::string& address,
                            ExchangeResult result) {
  const auto ended = in_flight_.extract(number);
  if (ended.empty()) {
    return;
  }
  HttpExchange& exchange = *ended.mapped().exchange;
  if (!IsOk(result)) {
    parts_.caller.CloseIdleConnections(address);
    if (ErrorOf(result).failure == ExchangeFailure::kCannotConnect) {
      parts_.on_connect_failed(ended.mapped().target);
    }
    Fail(exchange, EndOfFailure(ErrorOf(result)), ended.mapped().notice);
    return;
  }
  Count(RelayEnd::kAnswered);
  ExchangeResponse answer = TakeValue(std::move(result));
  const ConnectionUse connection = answer.connection;
  exchange.Respond(EncodeRelayedAnswer(std::move(answer), ended.mapped().notice,
                                       connection));
}

void RelayHandler::OnHead(std::uint64_t number,
                          const request_path::TargetIdentity& target,
                          const std::string& request,
                          const HttpResponse& head) {
  const request_path::TargetNotice notice = parts_.codec.ReadNotice(head);
  const auto relay = in_flight_.find(number);
  if (relay != in_flight_.end()) {
    relay->second.notice.Add(notice);
  }
  if (!notice.IsEmpty()) {
    parts_.on_notice(target, notice, request);
  }
}

void RelayHandler::EndIfNotAllowed(std::uint64_t number) {
  const auto found = in_flight_.find(number);
  if (found == in_flight_.end() ||
      parts_.targets.FindUsableAddress(found->second.target,
                                       parts_.loop.Now())) {
    return;
  }
  const auto ended = in_flight_.extract(found);
  parts_.caller.Cancel(ended.mapped().sent);
  Fail(*ended.mapped().exchange, RelayEnd::kNotAllowed);
}

// As for the requests of this host's own callers.
void RelayHandler::EndAbandonedRelays() {
  std::vector<std::uint64_t> abandoned;
  for (const auto& [number, relay] : in_flight_) {
    if (relay.exchange->IsCallerGone()) {
      abandoned.push_back(number);
    }
  }
  for (const std::uint64_t number : abandoned) {
    OnRequesterGone(number);
  }
}

void RelayHandler::AnswerBy(MonotonicTime due) {
  parts_.loop.Cancel(std::exchange(end_timer_, 0));
  const Duration left = due - parts_.loop.Now();
  if (left <= Duration(0)) {
    EndAll();
    return;
  }
  end_timer_ = parts_.loop.After(left, [this] {
    end_timer_ = 0;
    EndAll();
  });
}

// The other host learns that the request may have run. A connection that ends
// would tell it nothing, and would look like a helper that has failed.
void RelayHandler::EndAll() {
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, relay] : in_flight_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    // What has arrived counts, also if this host was held up.
    const auto waiting = in_flight_.find(number);
    if (waiting != in_flight_.end()) {
      parts_.caller.CatchUp(waiting->second.sent);
    }
    const auto ended = in_flight_.extract(number);
    if (!ended.empty()) {
      parts_.caller.Cancel(ended.mapped().sent);
      Fail(*ended.mapped().exchange, RelayEnd::kTimedOut,
           ended.mapped().notice);
    }
  }
}

void RelayHandler::OnRequesterGone(std::uint64_t number) {
  const auto ended = in_flight_.extract(number);
  if (!ended.empty()) {
    ended.mapped().exchange->OnCallerGone(nullptr);
    parts_.caller.Cancel(ended.mapped().sent);
  }
}

void RelayHandler::Fail(HttpExchange& exchange,
                        RelayEnd end,
                        const request_path::TargetNotice& notice) {
  Count(end);
  exchange.Respond(EncodeRelayFailure(end, notice));
}

void RelayHandler::Count(RelayEnd end) {
  parts_.metrics
      .CounterOf(kRelaysForOthers, {Label::OfConstant("end", NameOf(end))})
      .Add();
}

}  // namespace medlarcroft::adapters
