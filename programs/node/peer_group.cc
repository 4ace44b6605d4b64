#include "peer_group.h"

#include <algorithm>
#include <set>
#include <utility>

#include "adapters/process/log.h"
#include "medlarcroft/membership/news_pace.h"
#include "platform/host_entry.h"
#include "platform/mirror_page.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;
using membership::HostPhase;
using membership::Liveness;

constexpr Duration kBeatPeriod = std::chrono::milliseconds(800);
// Three beats: one lost datagram must not take a host out of look-ups, and a
// dead one must be out well before callers have tried it often.
constexpr Duration kUnheardLimit = std::chrono::milliseconds(2600);
// One beat in so many tells the whole state, for hosts that have just started;
// the others are signs of life, a third of its bytes.
constexpr std::uint32_t kWholeStateEvery = 3;
// The table's own limits are not used; they only must not be shorter.
constexpr Duration kTableLimit = std::chrono::seconds(20);
constexpr Duration kWriteAgain = std::chrono::milliseconds(700);
// A host that starts tells its whole state each time that it hears of others.
constexpr Duration kIntroductionTime = std::chrono::seconds(3);
// The own row's news takes so long to come back from the store.
constexpr Duration kRowSettles = std::chrono::seconds(5);
// A row without a living host is taken away after this; until then the host
// counts among those that share what is bounded for all.
constexpr Duration kLostAfter = std::chrono::seconds(40);

membership::HostState MakeSelf(const adapters::NodeSettings& settings,
                               const ports::Clock& clock) {
  membership::HostState self;
  self.host = HostName(settings.host);
  self.failure_domain = FailureDomainName(settings.failure_domain);
  self.number.incarnation = membership::FirstIncarnation(clock.WallNow());
  self.entry_address = settings.caller_listen;
  self.peer_address = settings.peer_listen;
  return self;
}

}  // namespace

PeerGroup::PeerGroup(const adapters::NodeSettings& settings, const Parts& parts)
    : LoggedTable("hosts"),
      settings_(settings),
      parts_(parts),
      table_({.suspect_after = kUnheardLimit,
              .dead_after = kTableLimit,
              .unknown_after = kTableLimit,
              .forget_after = kLostAfter},
             MakeSelf(settings, parts.loop.Clock()),
             parts.loop.Clock()),
      caller_(parts.loop, {.max_idle_per_address = 1}),
      watch_({.timers = parts.loop,
              .store = parts.store,
              .random = parts.random,
              .listener = *this},
             {.table = std::string(platform::kHostTable),
              .pace = rows::kPaceOfHostList,
              .ask_reader = [this](const rows::PeerQuestion& question,
                                   rows::RowsCallback callback) {
                return AskReader(question, std::move(callback));
              }}) {}

bool PeerGroup::Start() {
  auto channel = adapters::PeerChannel::Open(
      parts_.loop, settings_.peer_listen,
      [this](const adapters::PeerNews& news) { OnNews(news); });
  if (!IsOk(channel)) {
    return false;
  }
  channel_ = TakeValue(std::move(channel));
  started_at_ = parts_.loop.Now();
  watch_.Start();
  parts_.loop.Every(kBeatPeriod, [this] { SendBeats(); });
  parts_.loop.Every(kLostAfter, [this] {
    RemoveLostHosts();
    KeepOwnRow();
  });
  return true;
}

void PeerGroup::SetPhase(HostPhase phase) {
  if (table_.Self().phase == phase) {
    return;
  }
  table_.UpdateSelf([&](membership::HostState& self) { self.phase = phase; });
  SendState();
}

std::vector<std::string> PeerGroup::CallableAddresses() const {
  std::vector<std::string> addresses;
  if (table_.Self().phase == HostPhase::kReady) {
    addresses.push_back(settings_.caller_listen);
  }
  for (const membership::Member& member : table_.Members()) {
    const bool is_callable = member.state.phase == HostPhase::kReady &&
                             IsHeard(member) &&
                             member.liveness != Liveness::kLeaving &&
                             IsInOwnRegion(member.state.failure_domain);
    if (is_callable) {
      addresses.push_back(member.state.entry_address);
    }
  }
  return addresses;
}

rows::ReaderCandidate PeerGroup::CandidateOf(const HostName& host,
                                             const std::string& address) const {
  const auto entry = entries_.find(host);
  return {.host = host,
          .address = address,
          .link_mbps = entry == entries_.end() ? 0 : entry->second.link_mbps};
}

std::vector<rows::ReaderCandidate> PeerGroup::LiveHosts() const {
  std::vector<rows::ReaderCandidate> live = {
      CandidateOf(table_.Self().host, settings_.peer_listen)};
  for (const membership::Member& member : table_.Members()) {
    const membership::HostState& state = member.state;
    // One that is only listed has no incarnation.
    const bool is_live = state.number.incarnation > 0 && IsHeard(member) &&
                         state.phase != HostPhase::kLeaving &&
                         !state.peer_address.empty() &&
                         IsInOwnRegion(state.failure_domain);
    if (is_live) {
      live.push_back(CandidateOf(state.host, state.peer_address));
    }
  }
  return live;
}

std::size_t PeerGroup::HostsInRegion() const {
  return RegionPeers().size() + 1;
}

bool PeerGroup::IsLargeRegion() const {
  return HostsInRegion() > rows::kHostsThatReadThemselves;
}

bool PeerGroup::HasFoundReaders() const {
  return watch_.HasTable() &&
         (!IsLargeRegion() ||
          LiveHosts().size() > rows::kHostsThatReadThemselves);
}

bool PeerGroup::AskReader(const rows::PeerQuestion& question,
                          rows::RowsCallback callback) {
  const std::vector<rows::ReaderCandidate> live = LiveHosts();
  if (live.size() <= rows::kHostsThatReadThemselves) {
    return false;
  }
  const rows::ReaderCandidate* const reader =
      rows::ChooseReader(question.table, live);
  if (reader == nullptr || reader->host == table_.Self().host) {
    return false;
  }
  platform::AskPeer(caller_, reader->address, question, std::move(callback));
  return true;
}

void PeerGroup::AskSomePeer(const rows::PeerQuestion& question,
                            rows::RowsCallback callback) {
  std::vector<std::string> addresses;
  for (const rows::ReaderCandidate& peer : LiveHosts()) {
    if (peer.host.Value() != settings_.host) {
      addresses.push_back(peer.address);
    }
  }
  // A store that turns away a whole region may serve another one.
  std::vector<std::string> elsewhere;
  for (const auto& [name, entry] : entries_) {
    if (!IsInOwnRegion(entry.host.failure_domain)) {
      elsewhere.push_back(entry.host.address);
    }
  }
  if (!elsewhere.empty()) {
    addresses.push_back(elsewhere[parts_.random.NextBelow(elsewhere.size())]);
  }
  if (addresses.empty()) {
    parts_.loop.After(Duration(0), [callback = std::move(callback)] {
      callback(rows::RowFailure::kUnreachable);
    });
    return;
  }
  platform::AskPeer(caller_,
                    addresses[parts_.random.NextBelow(addresses.size())],
                    question, std::move(callback));
}

std::uint32_t PeerGroup::KnownHosts() const {
  const bool is_listed = entries_.contains(HostName(settings_.host));
  return static_cast<std::uint32_t>(entries_.size()) + (is_listed ? 0 : 1);
}

void PeerGroup::OnTable(std::span<const rows::Row> rows) {
  std::set<HostName> listed;
  for (const rows::Row& row : rows) {
    listed.emplace(row.key);
    Apply(row);
  }
  std::erase_if(entries_, [&listed](const auto& entry) {
    return !listed.contains(entry.first);
  });
  PublishList();
  KeepOwnRow();
  Introduce();
}

void PeerGroup::OnRows(std::span<const rows::Row> rows) {
  for (const rows::Row& row : rows) {
    Apply(row);
  }
  PublishList();
  KeepOwnRow();
  Introduce();
}

// The others hear at once of a host that starts, and not at its next beat that
// tells the whole state: it is named to callers, and counts as a reader, from
// then on.
void PeerGroup::Introduce() {
  if (parts_.loop.Now() - started_at_ < kIntroductionTime) {
    SendState();
  }
}

void PeerGroup::Apply(const rows::Row& row) {
  const HostName name(row.key);
  if (row.is_removed) {
    entries_.erase(name);
    return;
  }
  const auto decoded = platform::DecodeHostEntry(row.key, row.value);
  if (!IsOk(decoded)) {
    OnUnreadable(row, ErrorOf(decoded));
    return;
  }
  entries_[name] = {.host = ValueOf(decoded).host,
                    .link_mbps = ValueOf(decoded).link_mbps,
                    .row_version = row.version,
                    .seen_at = parts_.loop.Now()};
}

// Failure: another writer spoils a host's row. Symptom: were it dropped, the
// others would divide what all may send among fewer hosts than send. So they
// keep what they knew, and the host itself takes its row for gone and writes it
// again.
void PeerGroup::OnUnreadable(const rows::Row& row,
                             const platform::DecodeFault& fault) {
  Log(LogLevel::kWarning, "host-entry-unreadable",
      {{"peer", row.key},
       {"row_version", row.version},
       {"field", fault.field},
       {"problem", platform::NameOf(fault.problem)}});
  if (row.key == settings_.host) {
    entries_.erase(HostName(row.key));
    return;
  }
  const auto known = entries_.find(HostName(row.key));
  if (known != entries_.end()) {
    known->second.row_version = row.version;
  }
}

void PeerGroup::PublishList() {
  std::vector<ports::ListedHost> hosts;
  for (const auto& [name, entry] : entries_) {
    hosts.push_back(entry.host);
  }
  table_.ApplyHostList(hosts);
}

// A host that starts again finds its row and leaves it: each row that is
// written wakes all who follow the table.
void PeerGroup::KeepOwnRow() {
  const auto own = entries_.find(HostName(settings_.host));
  const bool is_kept = own != entries_.end() &&
                       own->second.host.address == settings_.peer_listen;
  const bool is_settling =
      written_at_ && parts_.loop.Now() - *written_at_ < kRowSettles;
  if (!is_kept && !is_writing_ && !is_settling) {
    WriteOwnRow();
  }
}

void PeerGroup::WriteOwnRow() {
  is_writing_ = true;
  const platform::HostEntry self{
      .host = {.name = settings_.host,
               .failure_domain = FailureDomainName(settings_.failure_domain),
               .address = settings_.peer_listen},
      .link_mbps = settings_.link_mbps};
  parts_.store.Write({.table = std::string(platform::kHostTable),
                      .key = settings_.host,
                      .value = platform::EncodeHostEntry(self)},
                     [this](const Result<Success, rows::RowFailure>& result) {
                       // Writing it twice does no harm.
                       if (!IsOk(result)) {
                         parts_.loop.After(kWriteAgain,
                                           [this] { WriteOwnRow(); });
                         return;
                       }
                       is_writing_ = false;
                       written_at_ = parts_.loop.Now();
                     });
}

void PeerGroup::SendBeats() {
  table_.Tick();
  if (++beats_ % BeatSpacing() != 0) {
    return;
  }
  table_.UpdateSelf([](membership::HostState&) {});
  const membership::HostState& self = table_.Self();
  const auto heartbeat =
      membership::MakeHeartbeat(self.host, self.number, Duration(0));
  const bool is_whole = beats_ / BeatSpacing() % kWholeStateEvery == 0;
  if (is_whole || !heartbeat) {
    SendState();
    return;
  }
  SendToRegion({.heartbeats = {*heartbeat}});
}

void PeerGroup::SendState() {
  SendToRegion({.state = table_.Self()});
}

std::uint32_t PeerGroup::BeatSpacing() const {
  return membership::BeatSpacing(RegionPeers().size());
}

bool PeerGroup::IsHeard(const membership::Member& member) const {
  return member.state.age < kUnheardLimit * BeatSpacing();
}

void PeerGroup::TellPlaced(const adapters::PlacedObject& placed) {
  placed_.push_back(placed);
  if (placed_.size() >= membership::kMostPlacedTogether) {
    SendPending();
  } else if (placed_.size() == 1) {
    parts_.loop.After(membership::PlacedNewsDelay(RegionPeers().size()),
                      [this] { SendPending(); });
  }
}

void PeerGroup::TellLoad(const adapters::ToldLoad& load) {
  if (RegionPeers().size() > membership::kMostPeersToldLoads) {
    return;
  }
  loads_[load.target] = load.requests;
  if (loads_.size() >= membership::kMostLoadsTogether) {
    SendPending();
  } else if (loads_.size() == 1) {
    parts_.loop.After(membership::kLoadNewsDelay, [this] { SendPending(); });
  }
}

void PeerGroup::SendPending() {
  if (placed_.empty() && loads_.empty()) {
    return;
  }
  adapters::PeerNews news{.placed = std::exchange(placed_, {})};
  for (const auto& [target, requests] : loads_) {
    news.loads.push_back({.target = target, .requests = requests});
  }
  loads_.clear();
  SendToRegion(news);
}

void PeerGroup::OnNews(const adapters::PeerNews& news) {
  if (news.state) {
    table_.Receive(*news.state);
  }
  for (const membership::Heartbeat& heartbeat : news.heartbeats) {
    table_.Receive(heartbeat);
  }
  for (const adapters::PlacedObject& placed : news.placed) {
    parts_.on_placed(placed);
  }
  for (const adapters::ToldLoad& load : news.loads) {
    parts_.on_load(load);
  }
}

void PeerGroup::SendToRegion(const adapters::PeerNews& news) {
  channel_->SendToAll(RegionPeers(), news);
}

std::vector<std::string> PeerGroup::RegionPeers() const {
  std::vector<std::string> peers;
  for (const auto& [name, entry] : entries_) {
    if (name.Value() != settings_.host &&
        IsInOwnRegion(entry.host.failure_domain)) {
      peers.push_back(entry.host.address);
    }
  }
  return peers;
}

void PeerGroup::RemoveLostHosts() {
  if (watch_.IsAway()) {
    return;
  }
  const MonotonicTime now = parts_.loop.Now();
  for (const auto& [name, entry] : entries_) {
    const bool may_judge = name.Value() != settings_.host &&
                           IsInOwnRegion(entry.host.failure_domain) &&
                           now - entry.seen_at > kLostAfter;
    if (!may_judge) {
      continue;
    }
    const auto member = table_.Find(name);
    if (member && member->state.age < kLostAfter &&
        member->state.number.incarnation > 0) {
      continue;
    }
    Log(LogLevel::kInfo, "host-row-removed", {{"peer", name.Value()}});
    parts_.store.Write({.table = std::string(platform::kHostTable),
                        .key = name.Value(),
                        .expected_version = entry.row_version},
                       [](const Result<Success, rows::RowFailure>&) {});
  }
}

bool PeerGroup::IsInOwnRegion(const FailureDomainName& domain) const {
  const auto found = parts_.regions.find(domain);
  return found != parts_.regions.end() &&
         found->second.Value() == settings_.region;
}

}  // namespace medlarcroft::node
