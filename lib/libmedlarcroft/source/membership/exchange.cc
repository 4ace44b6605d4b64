#include "medlarcroft/membership/exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace medlarcroft::membership {

namespace {

enum ItemKind : int { kHostItem, kObservationItem, kSummaryItem };

/// How often an item about a leaving host or target is sent before other items.
/// This suffices to reach 52 hosts with two messages a second each; afterwards
/// it is sent in rotation.
constexpr std::uint32_t kUrgentSends = 6;
/// More than the hosts, domains and own targets at the planned size. Clearing
/// the records costs a round of repetition.
constexpr std::size_t kMaxSendRecords = 4096;
/// Fractions of the space left after the sender's own state.
constexpr double kHostsFraction = 0.7;
constexpr double kObservationsFraction = 0.6;
/// In messages of the sender. Addresses change only with the process.
constexpr std::uint32_t kLoadsInterval = 2;
constexpr std::uint32_t kAddressesInterval = 8;

void DropAddresses(HostState& state) {
  state.lookup_address.clear();
  state.entry_address.clear();
  state.peer_address.clear();
  state.share_address.clear();
}

template <typename Item>
bool AddIfRoom(std::vector<Item>& items, const Item& item, std::size_t& room) {
  const std::size_t bytes = WireBytes(item);
  if (bytes > room) {
    return false;
  }
  room -= bytes;
  items.push_back(item);
  return true;
}

std::size_t FractionOf(std::size_t room, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(room) * fraction);
}

}  // namespace

ExchangePacing PacingFor(const ExchangeBudget& budget) {
  constexpr double kMessagesPerExchange = 4.0;
  ExchangePacing pacing;
  const double needed =
      kMessagesPerExchange *
      static_cast<double>(budget.min_message_bytes + budget.overhead_bytes);
  const double seconds = std::max(1.0, needed / budget.bytes_per_second);
  pacing.period = FromSeconds(seconds);
  const double bytes_per_message =
      budget.bytes_per_second * seconds / kMessagesPerExchange;
  pacing.message_bytes =
      static_cast<std::size_t>(bytes_per_message) - budget.overhead_bytes;
  return pacing;
}

std::size_t WireBytes(const ExchangeContent& content) {
  // Three list headers, version and revision, and the sender's field header.
  constexpr std::size_t kFrameBytes = 32;
  std::size_t bytes = kFrameBytes + WireBytes(content.sender) +
                      (content.heartbeats.size() * kHeartbeatBytes);
  for (const HostState& state : content.hosts) {
    bytes += WireBytes(state);
  }
  for (const TargetObservation& observation : content.observations) {
    bytes += WireBytes(observation);
  }
  for (const DomainSummary& summary : content.summaries) {
    bytes += WireBytes(summary);
  }
  return bytes;
}

ExchangeContent ExchangeSelector::Select(const MembershipTable& members,
                                         const TargetStatusTable& targets,
                                         std::size_t message_bytes) {
  ExchangeContent content{.sender = OwnState(members.Self())};
  const std::size_t own = WireBytes(content);
  std::size_t room = message_bytes > own ? message_bytes - own : 0;
  std::vector<Member> known = members.Members();
  std::erase_if(known, [&content](const Member& member) {
    return member.state.failure_domain != content.sender.failure_domain ||
           member.state.number == StateNumber{} ||
           member.liveness == Liveness::kDead;
  });
  AddHeartbeats(content, known, room);
  std::size_t rest = room - FractionOf(room, kHostsFraction);
  std::size_t hosts_room = room - rest;
  AddHosts(content, known, hosts_room);
  rest += hosts_room;
  std::size_t observations_room = FractionOf(rest, kObservationsFraction);
  rest -= observations_room;
  AddObservations(content, targets.Observations(), observations_room);
  rest += observations_room;
  AddSummaries(content, members.Summaries(), rest);
  return content;
}

std::uint32_t ExchangeSelector::SendCount(const ItemName& item,
                                          const StateNumber& number) const {
  const auto found = send_records_.find(item);
  const bool is_sent =
      found != send_records_.end() && found->second.number == number;
  return is_sent ? found->second.times : 0;
}

void ExchangeSelector::RecordSend(const ItemName& item,
                                  const StateNumber& number) {
  const std::uint32_t times = SendCount(item, number) + 1;
  if (send_records_.size() >= kMaxSendRecords) {
    send_records_.clear();
  }
  send_records_[item] = {
      .number = number, .times = times, .message = messages_};
}

HostState ExchangeSelector::OwnState(const HostState& self) {
  HostState state = self;
  state.age = Duration::zero();
  if (messages_ % kLoadsInterval != 0) {
    state.loads.clear();
  }
  if (messages_ % kAddressesInterval != 0) {
    DropAddresses(state);
  }
  ++messages_;
  return state;
}

void ExchangeSelector::AddHeartbeats(ExchangeContent& content,
                                     const std::vector<Member>& members,
                                     std::size_t& room) {
  std::vector<const Member*> newest;
  newest.reserve(members.size());
  for (const Member& member : members) {
    newest.push_back(&member);
  }
  std::ranges::sort(newest, {},
                    [](const Member* member) { return member->state.age; });
  for (const Member* member : newest) {
    const auto heartbeat = MakeHeartbeat(
        member->state.host, member->alive_number, member->state.age);
    if (!heartbeat || room < kHeartbeatBytes) {
      return;
    }
    content.heartbeats.push_back(*heartbeat);
    room -= kHeartbeatBytes;
  }
}

void ExchangeSelector::AddHosts(ExchangeContent& content,
                                const std::vector<Member>& members,
                                std::size_t& room) {
  using Rank = std::tuple<bool, std::uint32_t, Duration>;
  std::vector<std::pair<Rank, const Member*>> ranked;
  for (const Member& member : members) {
    const auto record =
        send_records_.find({kHostItem, member.state.host.Value()});
    const SendRecord last =
        record == send_records_.end() ? SendRecord{} : record->second;
    // A process that is new, leaves, or has another seat is sent first; the
    // others follow in rotation.
    const bool is_urgent =
        last.number.incarnation != member.state.number.incarnation ||
        last.seats != member.state.seats ||
        (member.state.phase == HostPhase::kLeaving &&
         last.times < kUrgentSends);
    ranked.emplace_back(Rank{!is_urgent, last.message, member.content_age},
                        &member);
  }
  std::ranges::sort(ranked, {}, &std::pair<Rank, const Member*>::first);
  for (const auto& [rank, member] : ranked) {
    HostState state = member->state;
    state.age = member->content_age;
    state.failure_domain = FailureDomainName();
    const bool is_urgent = !std::get<0>(rank);
    // Urgent states must fit next to everything else. Loads may be older than
    // the rest of a state: then they are sent with their own number and age.
    if (is_urgent) {
      state.loads.clear();
    } else if (!state.loads.empty()) {
      state.number = member->loads_number;
      state.age = member->loads_age;
    }
    if (!is_urgent || state.phase == HostPhase::kLeaving) {
      DropAddresses(state);
    }
    if (!AddIfRoom(content.hosts, state, room)) {
      return;
    }
    SendRecord& record = send_records_[{kHostItem, state.host.Value()}];
    const bool is_same = record.number.incarnation == state.number.incarnation;
    const std::uint32_t times =
        is_same && state.phase == HostPhase::kLeaving ? record.times + 1 : 0;
    record = {.number = member->state.number,
              .times = times,
              .message = messages_,
              .seats = member->state.seats};
  }
}

void ExchangeSelector::AddObservations(
    ExchangeContent& content,
    std::vector<TargetObservation> observations,
    std::size_t& room) {
  // Observations of other hosts are forwarded only if they report a target as
  // leaving or ejected: all observations of 300 targets by 52 hosts would take
  // minutes to reach all hosts.
  std::erase_if(observations, [&content](const TargetObservation& observation) {
    return observation.observer != content.sender.host &&
           !observation.is_leaving && !observation.is_ejected;
  });
  using Rank = std::tuple<bool, std::uint32_t, Duration>;
  std::vector<std::pair<Rank, const TargetObservation*>> ranked;
  const auto item_of = [](const TargetObservation& observation) {
    return ItemName{kObservationItem, observation.target.Value() + "/" +
                                          observation.observer.Value()};
  };
  for (const TargetObservation& observation : observations) {
    const StateNumber number{.sequence = observation.sequence};
    const std::uint32_t times = SendCount(item_of(observation), number);
    const bool is_urgent = observation.is_leaving && times < kUrgentSends;
    ranked.emplace_back(Rank{!is_urgent, times, observation.age}, &observation);
  }
  std::ranges::sort(ranked, {},
                    &std::pair<Rank, const TargetObservation*>::first);
  for (const auto& [rank, observation] : ranked) {
    if (!AddIfRoom(content.observations, *observation, room)) {
      return;
    }
    RecordSend(item_of(*observation), {.sequence = observation->sequence});
  }
}

void ExchangeSelector::AddSummaries(ExchangeContent& content,
                                    std::vector<DomainSummary> summaries,
                                    std::size_t& room) {
  const auto times_of = [this](const DomainSummary& summary) {
    const ItemName item{kSummaryItem, summary.failure_domain.Value()};
    return std::pair(SendCount(item, summary.number), summary.age);
  };
  std::ranges::sort(summaries, {}, times_of);
  for (const DomainSummary& summary : summaries) {
    if (!AddIfRoom(content.summaries, summary, room)) {
      return;
    }
    RecordSend({kSummaryItem, summary.failure_domain.Value()}, summary.number);
  }
}

void ApplyExchange(const ExchangeContent& content,
                   MembershipTable& members,
                   TargetStatusTable& targets) {
  (void)members.Receive(content.sender);
  for (const Heartbeat& heartbeat : content.heartbeats) {
    (void)members.Receive(heartbeat);
  }
  for (HostState state : content.hosts) {
    if (state.failure_domain.IsEmpty()) {
      state.failure_domain = content.sender.failure_domain;
    }
    (void)members.Receive(state);
  }
  for (const TargetObservation& observation : content.observations) {
    (void)targets.Receive(observation);
  }
  for (const DomainSummary& summary : content.summaries) {
    (void)members.Receive(summary);
  }
}

std::optional<HostName> PeerRotation::Next(std::span<const HostName> hosts,
                                           ports::RandomSource& random) {
  std::erase_if(remaining_, [hosts](const HostName& host) {
    return std::ranges::find(hosts, host) == hosts.end();
  });
  if (remaining_.empty()) {
    remaining_.assign(hosts.begin(), hosts.end());
    for (std::size_t i = remaining_.size(); i > 1; --i) {
      std::swap(remaining_[i - 1], remaining_[random.NextBelow(i)]);
    }
  }
  if (remaining_.empty()) {
    return std::nullopt;
  }
  HostName next = std::move(remaining_.back());
  remaining_.pop_back();
  return next;
}

}  // namespace medlarcroft::membership
