#include "adapters/forward/relay_sender.h"

#include <utility>

namespace medlarcroft::adapters {

namespace {

using request_path::HelperSign;
using telemetry::Label;

constexpr telemetry::MetricDescription kRelayedSends = {
    "medlar_relayed_sends_total",
    "Sends that other hosts made for this one, by how they ended."};

// The target's own time ends earlier; this is for its answer to travel back.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(100);
// As for targets: a host that closes an idle connection while a request is sent
// on it leaves unknown whether the request ran.
constexpr Duration kMaxIdle = std::chrono::milliseconds(2500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

RelayEnd EndOfFailure(const ExchangeError& error) {
  if (error.is_proved_unsent) {
    return RelayEnd::kRefused;
  }
  return error.failure == ExchangeFailure::kTimedOut ? RelayEnd::kTimedOut
                                                     : RelayEnd::kLost;
}

/// @param is_stated whether `end` is the helper's word.
HelperSign SignOf(RelayEnd end, bool is_stated) {
  if (!is_stated) {
    return HelperSign::kSilent;
  }
  switch (end) {
    case RelayEnd::kRefused:
    case RelayEnd::kCutOff:
      return HelperSign::kCutOff;
    case RelayEnd::kBusy:
      return HelperSign::kBusy;
    case RelayEnd::kNotSent:
      return HelperSign::kMissedTarget;
    case RelayEnd::kAnswered:
    case RelayEnd::kNotAllowed:
    case RelayEnd::kLost:
    case RelayEnd::kTimedOut:
      break;
  }
  return HelperSign::kWorks;
}

bool MayAskNextHelper(RelayEnd end) {
  return end == RelayEnd::kRefused || end == RelayEnd::kBusy ||
         end == RelayEnd::kCutOff;
}

}  // namespace

RelaySender::~RelaySender() {
  for (const auto& [number, relay] : relays_) {
    parts_.caller.Cancel(relay.exchange);
  }
}

std::uint64_t RelaySender::Send(RelayRequest request,
                                std::vector<RegionName> regions,
                                Callbacks callbacks) {
  const std::uint64_t number = ++last_relay_;
  const MonotonicTime deadline = parts_.loop.Now() + request.time_left;
  relays_.emplace(number, Relay{.request = std::move(request),
                                .regions = std::move(regions),
                                .callbacks = std::move(callbacks),
                                .deadline = deadline});
  SendToNextHelper(number);
  return number;
}

void RelaySender::SendToNextHelper(std::uint64_t number) {
  Relay& relay = relays_.at(number);
  const Duration time_left = relay.deadline - parts_.loop.Now();
  std::optional<RelayHelper> helper;
  if (relay.helpers_tried < kMaxHelpers && time_left > Duration(0)) {
    helper =
        selector_.Choose(relay.regions, parts_.find_helpers, parts_.loop.Now());
  }
  if (!helper) {
    parts_.loop.After(Duration(0), [alive = std::weak_ptr(alive_), number] {
      if (const auto sender = alive.lock()) {
        (*sender)->Finish(number, {.end = RelayEnd::kRefused});
      }
    });
    return;
  }
  ++relay.helpers_tried;
  relay.request.time_left = time_left;
  relay.request.text = relay.callbacks.encode(time_left);
  OutboundRequest request;
  request.address = helper->address;
  request.text = EncodeRelayRequest(relay.request, helper->address);
  request.body = relay.request.body;
  request.connect_timeout = kConnectTimeout;
  request.timeout = time_left + kAnswerMargin;
  request.max_idle = kMaxIdle;
  // The helper can't know that the caller has left before it is told.
  request.on_connected =
      [cancel = relay.callbacks.cancel_if_unwanted](Duration) { cancel(); };
  request.on_head = [on_notice =
                         relay.callbacks.on_notice](const HttpResponse& head) {
    const request_path::TargetNotice notice = DecodeRelayedNotice(head);
    if (!notice.IsEmpty()) {
      on_notice(notice);
    }
  };
  relay.exchange = parts_.caller.Send(
      std::move(request),
      [this, number, helper = *helper](ExchangeResult result) {
        OnResult(number, helper, std::move(result));
      });
}

void RelaySender::OnResult(std::uint64_t number,
                           const RelayHelper& helper,
                           ExchangeResult result) {
  const auto found = relays_.find(number);
  if (found == relays_.end()) {
    return;
  }
  found->second.exchange = 0;
  RelayResult relayed{.end = RelayEnd::kLost, .helper = helper.host};
  if (IsOk(result)) {
    relayed.response = TakeValue(std::move(result));
    relayed.response.connection = DecodeConnectionUse(relayed.response);
    const auto stated = DecodeRelayResponse(relayed.response);
    relayed.end = stated.value_or(RelayEnd::kLost);
    relayed.is_stated = stated.has_value();
  } else {
    relayed.end = EndOfFailure(ErrorOf(result));
  }
  parts_.metrics
      .CounterOf(kRelayedSends, {Label::OfConstant("end", NameOf(relayed.end))})
      .Add();
  selector_.OnEnd(helper, SignOf(relayed.end, relayed.is_stated),
                  parts_.loop.Now());
  if (MayAskNextHelper(relayed.end)) {
    const auto cancel_if_unwanted = found->second.callbacks.cancel_if_unwanted;
    if (!cancel_if_unwanted()) {
      SendToNextHelper(number);
    }
    return;
  }
  Finish(number, std::move(relayed));
}

void RelaySender::Finish(std::uint64_t number, RelayResult result) {
  auto ended = relays_.extract(number);
  if (!ended.empty()) {
    ended.mapped().callbacks.on_end(std::move(result));
  }
}

void RelaySender::CatchUp(std::uint64_t relay) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    parts_.caller.CatchUp(found->second.exchange);
  }
}

void RelaySender::Cancel(std::uint64_t relay) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) {
    return;
  }
  parts_.caller.Cancel(found->second.exchange);
  relays_.erase(found);
}

}  // namespace medlarcroft::adapters
