#include "medlarcroft/membership/exchange.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace medlarcroft::membership {

namespace {

enum ItemKind : int { kHostItem, kObservationItem, kSummaryItem };

/// A sign of leaving goes first this many times: enough to reach 52 hosts with
/// two messages a second each, after which it goes with the rest.
constexpr std::uint32_t kUrgentRepeats = 6;
/// More than the hosts, domains and own targets at the planned size. Starting
/// anew costs a round of repetition.
constexpr std::size_t kMaxTold = 4096;
/// Of what is left after the sender's own state.
constexpr double kHostsPart = 0.7;
constexpr double kObservationsPart = 0.6;
/// Of the sender's messages. Addresses change only with the process.
constexpr std::uint32_t kLoadsEvery = 2;
constexpr std::uint32_t kAddressesEvery = 8;

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

std::size_t PartOf(std::size_t room, double part) {
  return static_cast<std::size_t>(static_cast<double>(room) * part);
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
  constexpr std::size_t kFrame = 32;
  std::size_t bytes = kFrame + WireBytes(content.sender) +
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
  std::size_t rest = room - PartOf(room, kHostsPart);
  std::size_t hosts_room = room - rest;
  AddHosts(content, known, hosts_room);
  rest += hosts_room;
  std::size_t observations_room = PartOf(rest, kObservationsPart);
  rest -= observations_room;
  AddObservations(content, targets.Observations(), observations_room);
  rest += observations_room;
  AddSummaries(content, members.Summaries(), rest);
  return content;
}

std::uint32_t ExchangeSelector::TimesTold(const ItemName& item,
                                          const StateNumber& number) const {
  const auto found = told_.find(item);
  const bool is_told = found != told_.end() && found->second.number == number;
  return is_told ? found->second.times : 0;
}

void ExchangeSelector::NoteTold(const ItemName& item,
                                const StateNumber& number) {
  const std::uint32_t times = TimesTold(item, number) + 1;
  if (told_.size() >= kMaxTold) {
    told_.clear();
  }
  told_[item] = {.number = number, .times = times, .message = messages_};
}

HostState ExchangeSelector::OwnState(const HostState& self) {
  HostState state = self;
  state.age = Duration::zero();
  if (messages_ % kLoadsEvery != 0) {
    state.loads.clear();
  }
  if (messages_ % kAddressesEvery != 0) {
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
    const auto told = told_.find({kHostItem, member.state.host.Value()});
    const Told last = told == told_.end() ? Told{} : told->second;
    // A process that is new, leaves, or has another seat is news; then each
    // goes in turn.
    const bool is_news =
        last.number.incarnation != member.state.number.incarnation ||
        last.seats != member.state.seats ||
        (member.state.phase == HostPhase::kLeaving &&
         last.times < kUrgentRepeats);
    ranked.emplace_back(Rank{!is_news, last.message, member.content_age},
                        &member);
  }
  std::ranges::sort(ranked, {}, &std::pair<Rank, const Member*>::first);
  for (const auto& [rank, member] : ranked) {
    HostState state = member->state;
    state.age = member->content_age;
    state.failure_domain = FailureDomainName();
    const bool is_news = !std::get<0>(rank);
    // News must fit whatever else there is. Loads may be older than the rest:
    // then they go under the number and with the age that they had.
    if (is_news) {
      state.loads.clear();
    } else if (!state.loads.empty()) {
      state.number = member->loads_number;
      state.age = member->loads_age;
    }
    if (!is_news || state.phase == HostPhase::kLeaving) {
      DropAddresses(state);
    }
    if (!AddIfRoom(content.hosts, state, room)) {
      return;
    }
    Told& told = told_[{kHostItem, state.host.Value()}];
    const bool is_same = told.number.incarnation == state.number.incarnation;
    const std::uint32_t times =
        is_same && state.phase == HostPhase::kLeaving ? told.times + 1 : 0;
    told = {.number = member->state.number,
            .times = times,
            .message = messages_,
            .seats = member->state.seats};
  }
}

void ExchangeSelector::AddObservations(
    ExchangeContent& content,
    std::vector<TargetObservation> observations,
    std::size_t& room) {
  // What others saw is passed on only where it warns: 52 hosts' views of 300
  // targets would take minutes to go round.
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
    const std::uint32_t times = TimesTold(item_of(observation), number);
    const bool is_urgent = observation.is_leaving && times < kUrgentRepeats;
    ranked.emplace_back(Rank{!is_urgent, times, observation.age}, &observation);
  }
  std::ranges::sort(ranked, {},
                    &std::pair<Rank, const TargetObservation*>::first);
  for (const auto& [rank, observation] : ranked) {
    if (!AddIfRoom(content.observations, *observation, room)) {
      return;
    }
    NoteTold(item_of(*observation), {.sequence = observation->sequence});
  }
}

void ExchangeSelector::AddSummaries(ExchangeContent& content,
                                    std::vector<DomainSummary> summaries,
                                    std::size_t& room) {
  const auto times_of = [this](const DomainSummary& summary) {
    const ItemName item{kSummaryItem, summary.failure_domain.Value()};
    return std::pair(TimesTold(item, summary.number), summary.age);
  };
  std::ranges::sort(summaries, {}, times_of);
  for (const DomainSummary& summary : summaries) {
    if (!AddIfRoom(content.summaries, summary, room)) {
      return;
    }
    NoteTold({kSummaryItem, summary.failure_domain.Value()}, summary.number);
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
  std::erase_if(round_, [hosts](const HostName& host) {
    return std::ranges::find(hosts, host) == hosts.end();
  });
  if (round_.empty()) {
    round_.assign(hosts.begin(), hosts.end());
    for (std::size_t i = round_.size(); i > 1; --i) {
      std::swap(round_[i - 1], round_[random.NextBelow(i)]);
    }
  }
  if (round_.empty()) {
    return std::nullopt;
  }
  HostName next = std::move(round_.back());
  round_.pop_back();
  return next;
}

}  // namespace medlarcroft::membership
