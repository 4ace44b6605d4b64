#include "adapters/forward/relay_sender.h"

#include <algorithm>
#include <set>
#include <utility>

namespace medlarcroft::adapters {

namespace {

using telemetry::Label;

constexpr telemetry::MetricDescription kRelayedSends = {
    "medlar_relayed_sends_total",
    "Sends that other hosts made for this one, by how they ended."};

// A host that is cut off too, has too much to do or is paused stays so for a
// while.
constexpr Duration kAvoidTime = std::chrono::seconds(1);
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
    helper = ChooseHelper(relay.regions);
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

std::optional<RelayHelper> RelaySender::ChooseHelper(
    std::span<const RegionName> regions) {
  const MonotonicTime now = parts_.loop.Now();
  std::erase_if(avoided_, [now](const auto& avoided) {
    return now >= avoided.second.until;
  });
  // Hosts are often cut off with others of their failure domain.
  std::set<FailureDomainName> avoided_domains;
  for (const auto& [host, avoided] : avoided_) {
    avoided_domains.insert(avoided.failure_domain);
  }
  for (const RegionName& region : regions) {
    std::vector<RelayHelper> helpers = parts_.find_helpers(region);
    std::erase_if(helpers, [this](const RelayHelper& helper) {
      return avoided_.contains(helper.host);
    });
    const auto end = std::partition(
        helpers.begin(), helpers.end(), [&](const RelayHelper& helper) {
          return !avoided_domains.contains(helper.failure_domain);
        });
    const auto preferred = static_cast<std::size_t>(end - helpers.begin());
    const std::size_t count = preferred > 0 ? preferred : helpers.size();
    if (count > 0) {
      return std::move(helpers[parts_.random.NextBelow(count)]);
    }
  }
  return std::nullopt;
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
    relayed.end =
        DecodeRelayResponse(relayed.response).value_or(RelayEnd::kLost);
  } else {
    relayed.end = EndOfFailure(ErrorOf(result));
  }
  parts_.metrics
      .CounterOf(kRelayedSends, {Label::OfConstant("end", NameOf(relayed.end))})
      .Add();
  if (relayed.end != RelayEnd::kAnswered &&
      relayed.end != RelayEnd::kNotAllowed) {
    avoided_[helper.host] = {.failure_domain = helper.failure_domain,
                             .until = parts_.loop.Now() + kAvoidTime};
  }
  if (relayed.end == RelayEnd::kRefused) {
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

void RelaySender::Cancel(std::uint64_t relay) {
  const auto found = relays_.find(relay);
  if (found == relays_.end()) {
    return;
  }
  parts_.caller.Cancel(found->second.exchange);
  relays_.erase(found);
}

}  // namespace medlarcroft::adapters
