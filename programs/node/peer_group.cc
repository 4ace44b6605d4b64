#include "peer_group.h"

#include <algorithm>
#include <utility>

#include "adapters/process/log.h"
#include "medlarcroft/membership/lookup_answer.h"
#include "medlarcroft/peer_updates/update_timing.h"
#include "platform/host_entry.h"
#include "platform/mirror_handler.h"

namespace medlarcroft::node {

namespace {

using adapters::Log;
using adapters::LogLevel;
using membership::HostPhase;

// In a small region, one heartbeat in this many comes with the full state, for
// hosts that missed it. The others only show that this host is alive, in a
// third of the bytes.
constexpr std::uint32_t kHeartbeatsPerFullState = 3;
// The timeouts of the membership table itself are not used; they only must not
// be shorter than those used here.
constexpr Duration kUnusedTableTimeout = std::chrono::seconds(20);
// Rate limits hold per second.
constexpr Duration kRateLimitWindow = std::chrono::seconds(1);
constexpr Duration kStartupPeriod = std::chrono::seconds(3);
constexpr Duration kStartupStoreWait = std::chrono::milliseconds(800);

membership::HostState MakeOwnState(const adapters::NodeSettings& settings,
                                   const ports::Clock& clock) {
  membership::HostState self;
  self.host = HostName(settings.host);
  self.failure_domain = FailureDomainName(settings.failure_domain);
  self.number.incarnation = membership::FirstIncarnation(clock.WallNow());
  self.entry_address = settings.caller_listen;
  self.peer_address = settings.peer_listen;
  return self;
}

void LogRelayChange(const peer_updates::RelayChange& change) {
  Log(LogLevel::kInfo, "news-relay-changed",
      {{"domain", change.failure_domain.Value()},
       {"relay", change.relay.Value()},
       {"was_silent", change.was_silent}});
}

// A starting host knows no reader yet. If the store held its first call as long
// as later ones, it would miss the rows of all hosts that start at the same
// time.
replication::FollowTiming StartupTiming() {
  replication::FollowTiming timing = replication::kHostListTiming;
  timing.wait = kStartupStoreWait;
  return timing;
}

}  // namespace

PeerGroup::PeerGroup(const adapters::NodeSettings& settings, const Parts& parts)
    : LoggingTableListener("hosts"),
      settings_(settings),
      parts_(parts),
      table_({.suspect_after = peer_updates::kLivenessTimeout,
              .dead_after = kUnusedTableTimeout,
              .unknown_after = kUnusedTableTimeout,
              .forget_after = kHostLostTimeout},
             MakeOwnState(settings, parts.loop.Clock()),
             parts.loop.Clock()),
      caller_(parts.loop,
              {.max_idle_per_address = 1,
               .memory = parts.memory,
               .held_as = resources::HolderKind::kStoreAnswer}),
      readers_({.host = HostName(settings.host),
                .failure_domain = FailureDomainName(settings.failure_domain),
                .other_readers_asked = replication::OtherReadersAsked(
                    settings.bounds.target_left_within)},
               {.directory = *this,
                .ask_host =
                    [this](const std::string& address,
                           const replication::RowsRequest& rows_request,
                           replication::RowsCallback callback) {
                      platform::FetchRowsFromPeer(
                          caller_, address, rows_request, std::move(callback));
                    },
                .timers = parts.loop,
                .random = parts.random,
                .regions = parts.regions}),
      follower_({.timers = parts.loop,
                 .store = parts.store,
                 .random = parts.random,
                 .listener = *this},
                {.table = std::string(platform::kHostTable),
                 .timing = StartupTiming(),
                 .ask_reader =
                     [this](const replication::RowsRequest& rows_request,
                            replication::RowsCallback callback) {
                       return readers_.AskReader(rows_request,
                                                 std::move(callback));
                     }}),
      sharing_({.in_touch_after = settings.bounds.in_touch_after,
                .started_at = parts.loop.Now()}) {}

bool PeerGroup::Start() {
  auto channel = adapters::PeerChannel::Open(
      parts_.loop, settings_.peer_listen,
      [this](const peer_updates::PeerUpdate& message) { OnMessage(message); });
  if (!IsOk(channel)) {
    return false;
  }
  channel_ = TakeValue(std::move(channel));
  region_broadcaster_.emplace(
      peer_updates::RegionBroadcaster::Options{
          .host = HostName(settings_.host),
          .failure_domain = FailureDomainName(settings_.failure_domain),
          .link_mbps = settings_.link_mbps,
          .on_relay_changed = LogRelayChange},
      parts_.loop, *channel_);
  global_broadcaster_.emplace(
      HostName(settings_.host),
      peer_updates::GlobalBroadcaster::Parts{
          .region = *region_broadcaster_,
          .sender = *channel_,
          .random = parts_.random,
          .remote_hosts = [this] { return RemoteHosts(); }});
  region_broadcaster_->Start();
  follower_.Start();
  parts_.loop.Every(peer_updates::kHeartbeatPeriod,
                    [this] { SendHeartbeats(); });
  parts_.loop.After(kStartupPeriod, [this] {
    follower_.SetTiming(replication::kHostListTiming);
  });
  parts_.loop.Every(kHostLostTimeout, [this] {
    RemoveLostHosts();
    EnsureOwnRow();
  });
  return true;
}

void PeerGroup::SetPhase(HostPhase phase) {
  if (table_.Self().phase == phase) {
    return;
  }
  table_.UpdateSelf([&](membership::HostState& self) { self.phase = phase; });
  region_broadcaster_->BroadcastState(table_.Self());
}

bool PeerGroup::IsLive(const membership::HostStateView& host) const {
  return host.age < peer_updates::kLivenessTimeout && !host.is_leaving &&
         host.state.phase != HostPhase::kLeaving &&
         IsInOwnRegion(host.state.failure_domain);
}

std::vector<std::string> PeerGroup::AddressesForCallers(
    const FailureDomainName& domain) const {
  std::vector<membership::LookupCandidate> callable;
  const auto add = [&](const membership::HostState& state) {
    const auto entry = entries_.find(state.host);
    callable.push_back(
        {.address = state.entry_address,
         .failure_domain = state.failure_domain,
         .link_mbps = entry == entries_.end() ? 0 : entry->second.link_mbps});
  };
  if (table_.Self().phase == HostPhase::kReady) {
    add(table_.Self());
  }
  table_.VisitHostStates([&](const membership::HostStateView& host) {
    if (IsLive(host) && host.state.phase == HostPhase::kReady) {
      add(host.state);
    }
  });
  return membership::ChooseLookupHosts(callable, domain, parts_.random);
}

replication::ReaderCandidate PeerGroup::MakeReaderCandidate(
    const membership::HostState& state,
    const std::string& address) const {
  const auto entry = entries_.find(state.host);
  return {.host = state.host,
          .address = address,
          .failure_domain = state.failure_domain,
          .link_mbps = entry == entries_.end() ? 0 : entry->second.link_mbps};
}

std::vector<replication::ReaderCandidate> PeerGroup::LiveHosts() const {
  std::vector<replication::ReaderCandidate> live = {
      MakeReaderCandidate(table_.Self(), settings_.peer_listen)};
  table_.VisitHostStates([&](const membership::HostStateView& host) {
    if (IsLive(host) && !host.state.peer_address.empty()) {
      live.push_back(MakeReaderCandidate(host.state, host.state.peer_address));
    }
  });
  return live;
}

std::vector<replication::ReaderCandidate> PeerGroup::HostsInOtherRegions()
    const {
  std::vector<replication::ReaderCandidate> elsewhere;
  for (const auto& [name, entry] : entries_) {
    if (!IsInOwnRegion(entry.host.failure_domain)) {
      elsewhere.push_back({.host = name,
                           .address = entry.host.address,
                           .failure_domain = entry.host.failure_domain,
                           .link_mbps = entry.link_mbps});
    }
  }
  return elsewhere;
}

std::vector<adapters::RelayHelper> PeerGroup::Helpers(
    const RegionName& region) const {
  const std::vector<replication::ReaderCandidate> hosts =
      region.Value() == settings_.region ? LiveHosts() : HostsInOtherRegions();
  std::vector<adapters::RelayHelper> helpers;
  for (const replication::ReaderCandidate& host : hosts) {
    const auto found = parts_.regions.find(host.failure_domain);
    const bool is_in_region =
        region.IsEmpty() ||
        (found != parts_.regions.end() && found->second == region);
    if (is_in_region && host.host.Value() != settings_.host) {
      helpers.push_back({.host = host.host,
                         .failure_domain = host.failure_domain,
                         .address = host.address,
                         .link_mbps = host.link_mbps});
    }
  }
  return helpers;
}

std::vector<peer_updates::RemoteHost> PeerGroup::RemoteHosts() const {
  std::vector<peer_updates::RemoteHost> hosts;
  for (const auto& [name, entry] : entries_) {
    const auto region = parts_.regions.find(entry.host.failure_domain);
    if (region != parts_.regions.end() &&
        region->second.Value() != settings_.region) {
      hosts.push_back(
          {.region = region->second, .address = entry.host.address});
    }
  }
  return hosts;
}

std::size_t PeerGroup::HostsInRegion() const {
  return region_broadcaster_->Peers().size() + 1;
}

bool PeerGroup::IsLargeRegion() const {
  return HostsInRegion() > replication::kMaxDirectReaders;
}

// When all hosts start together, a large region looks small at first, since few
// hosts have written their row. The row of this host arrives after most others,
// so the region's size is known well enough once it is there.
bool PeerGroup::HasFoundReaders() const {
  if (!follower_.HasTable()) {
    return false;
  }
  return IsLargeRegion() ? readers_.HasReaders()
                         : entries_.contains(HostName(settings_.host));
}

void PeerGroup::UpdateShare() {
  const std::uint32_t before = sharing_.Share().hosts;
  sharing_.Update(
      {.listed = KnownHosts(),
       .listed_in_region = static_cast<std::uint32_t>(HostsInRegion()),
       .is_known = follower_.HasTable(),
       .is_current = IsHostListCurrent(),
       .row_written_at = row_written_at_},
      parts_.loop.Now());
  const membership::HostShare& share = sharing_.Share();
  if (share.hosts != before) {
    Log(LogLevel::kInfo, "sharing-hosts-changed",
        {{"hosts", share.hosts},
         {"before", before},
         {"listed", KnownHosts()},
         {"is_list_current", IsHostListCurrent()},
         {"used_from_in_ms",
          ToMilliseconds(share.known_since - parts_.loop.Now())}});
  }
}

std::uint32_t PeerGroup::KnownHosts() const {
  const bool is_listed = entries_.contains(HostName(settings_.host));
  return static_cast<std::uint32_t>(entries_.size()) + (is_listed ? 0 : 1);
}

void PeerGroup::SendHeartbeats() {
  table_.Tick();
  table_.UpdateSelf([](membership::HostState&) {});
  const membership::HostState& self = table_.Self();
  const auto heartbeat =
      membership::MakeHeartbeat(self.host, self.number, Duration(0));
  if (region_broadcaster_->UsesRelays()) {
    region_broadcaster_->SendStateToNextPeers(self);
  } else if (++heartbeats_sent_ % kHeartbeatsPerFullState == 0) {
    region_broadcaster_->BroadcastState(self);
  }
  if (heartbeat) {
    region_broadcaster_->BroadcastHeartbeat(*heartbeat);
  }
}

void PeerGroup::PublishPlacement(const peer_updates::PlacedObject& placed) {
  region_broadcaster_->BroadcastPlacement(placed);
}

void PeerGroup::PublishLoad(const peer_updates::ReportedLoad& load) {
  region_broadcaster_->BroadcastLoad(load);
}

void PeerGroup::PublishCrashes(
    std::span<const request_path::CrashReport> reports) {
  global_broadcaster_->BroadcastCrashes(reports);
}

void PeerGroup::PublishLimits(
    std::span<const request_path::LimitReport> reports) {
  global_broadcaster_->BroadcastLimits(reports);
}

request_path::LimitHosts PeerGroup::LimitHosts() const {
  request_path::LimitHosts hosts{
      .own_hash = membership::HashOf(table_.Self().host),
      .own_region = RegionName(settings_.region),
      .known_in_region = sharing_.HostsInRegion(),
      .known_hosts = sharing_.Share().hosts,
      .has_share =
          sharing_.Share().Of(kRateLimitWindow, parts_.loop.Now()) > 0};
  hosts.live_in_region.push_back(hosts.own_hash);
  table_.VisitHostStates([&](const membership::HostStateView& host) {
    if (IsLive(host) && host.state.phase == HostPhase::kReady) {
      hosts.live_in_region.push_back(membership::HashOf(host.state.host));
    }
  });
  return hosts;
}

void PeerGroup::OnMessage(const peer_updates::PeerUpdate& message) {
  region_broadcaster_->OnUpdate(message);
  global_broadcaster_->OnUpdate(message);
  if (message.state) {
    OnState(*message.state);
  }
  for (const membership::Heartbeat& heartbeat : message.heartbeats) {
    table_.Receive(heartbeat);
  }
  for (const peer_updates::PlacedObject& placed : message.placed) {
    parts_.on_placed(placed);
  }
  for (const peer_updates::ReportedLoad& load : message.loads) {
    parts_.on_load(load);
  }
  for (const request_path::CrashReport& report : message.crashes) {
    parts_.on_crash_report(report);
  }
  for (const request_path::LimitReport& report : message.limits) {
    parts_.on_limit_report(report);
  }
  if (message.token_request) {
    parts_.on_token_request(message.sender, *message.token_request);
  }
  if (message.token_answer) {
    parts_.on_token_answer(message.sender, *message.token_answer);
  }
}

// A host that has just started would know of no host that it could return in
// look-ups, or that reads tables for it, since the other hosts send their next
// full states only seconds later. A process from which the first state is
// received is therefore sent this host's state at once.
void PeerGroup::OnState(const membership::HostState& state) {
  const auto known = table_.Find(state.host);
  const bool is_first =
      !known || known->state.number.incarnation < state.number.incarnation;
  table_.Receive(state);
  if (is_first && state.host != table_.Self().host &&
      !state.peer_address.empty()) {
    channel_->Send(std::span(&state.peer_address, 1),
                   {.sender = membership::HashOf(table_.Self().host),
                    .state = table_.Self()});
  }
}

bool PeerGroup::IsInOwnRegion(const FailureDomainName& domain) const {
  const auto found = parts_.regions.find(domain);
  return found != parts_.regions.end() &&
         found->second.Value() == settings_.region;
}

}  // namespace medlarcroft::node
