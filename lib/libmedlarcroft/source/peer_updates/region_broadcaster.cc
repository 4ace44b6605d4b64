#include "medlarcroft/peer_updates/region_broadcaster.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "medlarcroft/peer_updates/update_timing.h"
#include "medlarcroft/replication/reader_choice.h"

namespace medlarcroft::peer_updates {

namespace {

constexpr std::string_view kRelayHashSeed = "news";

}  // namespace

RegionBroadcaster::RegionBroadcaster(Options options,
                                     ports::Timers& timers,
                                     UpdateSender& sender)
    : options_(std::move(options)),
      own_hash_(membership::HashOf(options_.host)),
      timers_(timers),
      sender_(sender),
      next_peer_(own_hash_) {}

RegionBroadcaster::~RegionBroadcaster() {
  *self_ = nullptr;
}

void RegionBroadcaster::Start() {
  RunRelay();
}

void RegionBroadcaster::SetPeers(std::vector<Peer> peers) {
  std::unordered_map<std::uint32_t, PeerStatus> statuses;
  peers_ = std::move(peers);
  peer_addresses_.clear();
  domain_addresses_.clear();
  other_domains_.clear();
  for (std::size_t index = 0; index < peers_.size(); ++index) {
    const Peer& peer = peers_[index];
    const std::uint32_t hash = membership::HashOf(peer.host);
    const auto known = peer_statuses_.find(hash);
    PeerStatus status =
        known == peer_statuses_.end() ? PeerStatus{} : known->second;
    status.peer = index;
    statuses.emplace(hash, status);
    peer_addresses_.push_back(peer.address);
    if (peer.failure_domain == options_.failure_domain) {
      domain_addresses_.push_back(peer.address);
    } else if (std::ranges::find(other_domains_, peer.failure_domain) ==
               other_domains_.end()) {
      other_domains_.push_back(peer.failure_domain);
    }
  }
  peer_statuses_ = std::move(statuses);
}

bool RegionBroadcaster::UsesRelays() const {
  return !UsesDirectDelivery(peers_.size());
}

void RegionBroadcaster::BroadcastPlacement(const PlacedObject& placed) {
  pending_.placed.push_back(placed);
  if (pending_.placed.size() >= kMaxPlacementsPerDatagram) {
    SendPending();
  } else {
    ScheduleSend(UsesRelays() ? kReportBatchDelay
                              : PlacementBatchDelay(peers_.size()));
  }
}

void RegionBroadcaster::BroadcastLoad(const ReportedLoad& load) {
  pending_loads_[load.target] = load.requests;
  if (pending_loads_.size() >= kMaxLoadsPerDatagram) {
    SendPending();
  } else {
    ScheduleSend(kReportBatchDelay);
  }
}

void RegionBroadcaster::BroadcastCrashes(
    std::span<const request_path::CrashReport> reports) {
  if (reports.empty()) {
    return;
  }
  for (const request_path::CrashReport& report : reports) {
    pending_crashes_.push_back(
        {.report = report, .waits_since = timers_.Now()});
  }
  if (pending_crashes_.size() >= kMaxCrashesPerDatagram) {
    SendPending();
  } else {
    ScheduleSend(kReportBatchDelay);
  }
}

void RegionBroadcaster::BroadcastLimits(
    std::span<const request_path::LimitReport> reports) {
  if (reports.empty()) {
    return;
  }
  for (const request_path::LimitReport& report : reports) {
    pending_limits_[report.target] = report;
  }
  ScheduleSend(kReportBatchDelay);
}

void RegionBroadcaster::BroadcastHeartbeat(
    const membership::Heartbeat& heartbeat) {
  pending_.heartbeats.push_back(heartbeat);
  SendPending();
}

void RegionBroadcaster::BroadcastState(const membership::HostState& state) {
  sender_.Send(peer_addresses_, {.sender = own_hash_, .state = state});
}

void RegionBroadcaster::SendStateToNextPeers(
    const membership::HostState& state) {
  const std::size_t count =
      std::min(kStatesPerHeartbeat, peer_addresses_.size());
  std::vector<std::string> addresses;
  for (std::size_t forwarded = 0; forwarded < count; ++forwarded) {
    addresses.push_back(peer_addresses_[next_peer_++ % peer_addresses_.size()]);
  }
  sender_.Send(addresses, {.sender = own_hash_, .state = state});
}

void RegionBroadcaster::ScheduleSend(Duration delay) {
  if (std::exchange(is_send_scheduled_, true)) {
    return;
  }
  timers_.RunAfter(delay, [self = self_] {
    if (*self != nullptr) {
      (*self)->SendPending();
    }
  });
}

void RegionBroadcaster::SendPending() {
  is_send_scheduled_ = false;
  for (const auto& [target, requests] : std::exchange(pending_loads_, {})) {
    pending_.loads.push_back({.target = target, .requests = requests});
  }
  PeerUpdate update = std::exchange(pending_, {});
  // Sent in separate datagrams to limit the datagram size.
  std::vector<request_path::CrashReport> crashes;
  for (const WaitingCrashReport& waiting :
       std::exchange(pending_crashes_, {})) {
    crashes.push_back(waiting.At(timers_.Now()));
  }
  SendReports<request_path::CrashReport>(&PeerUpdate::crashes, crashes,
                                         kMaxCrashesPerDatagram);
  std::vector<request_path::LimitReport> limits;
  for (const auto& [target, report] : std::exchange(pending_limits_, {})) {
    limits.push_back(report);
  }
  SendReports<request_path::LimitReport>(&PeerUpdate::limits, limits,
                                         kMaxLimitsPerDatagram);
  if (!update.placed.empty() || !update.loads.empty() ||
      !update.heartbeats.empty()) {
    SendToRegion(std::move(update));
  }
}

template <typename Report>
void RegionBroadcaster::SendReports(std::vector<Report> PeerUpdate::*field,
                                    std::span<const Report> reports,
                                    std::size_t max_per_datagram) {
  for (std::size_t begin = 0; begin < reports.size();
       begin += max_per_datagram) {
    const auto part = reports.subspan(
        begin, std::min(max_per_datagram, reports.size() - begin));
    PeerUpdate update;
    (update.*field).assign(part.begin(), part.end());
    SendToRegion(std::move(update));
  }
}

void RegionBroadcaster::SendToRegion(PeerUpdate update) {
  update.sender = own_hash_;
  if (!UsesRelays()) {
    sender_.Send(peer_addresses_, update);
    return;
  }
  const MonotonicTime now = timers_.Now();
  const std::uint32_t relay = RelayOf(options_.failure_domain, now);
  if (relay != own_hash_) {
    update.way = UpdateRoute::kReport;
    const std::string address = AddressOf(relay);
    sender_.Send(std::span(&address, 1), update);
    return;
  }
  digest_queue_.Add(update, now);
  exchange_queue_.Add(update, now);
}

void RegionBroadcaster::OnUpdate(const PeerUpdate& update) {
  const MonotonicTime now = timers_.Now();
  const auto source = peer_statuses_.find(update.sender);
  if (source != peer_statuses_.end()) {
    source->second.last_seen_at = now;
    if (update.way == UpdateRoute::kExchange ||
        update.way == UpdateRoute::kDigest) {
      source->second.relayed_at = now;
    }
  }
  for (const membership::Heartbeat& heartbeat : update.heartbeats) {
    const auto origin = peer_statuses_.find(heartbeat.host_hash);
    if (origin != peer_statuses_.end()) {
      PeerStatus& status = origin->second;
      status.last_seen_at = std::max(
          status.last_seen_at.value_or(MonotonicTime()), now - heartbeat.age);
    }
  }
  switch (update.way) {
    case UpdateRoute::kReport:
      relay_requested_at_ = now;
      digest_queue_.Add(update, now);
      exchange_queue_.Add(update, now);
      break;
    case UpdateRoute::kExchange:
      relay_requested_at_ = now;
      digest_queue_.Add(update, now);
      exchanged_with_[update.sender] = now;
      break;
    case UpdateRoute::kDirect:
    case UpdateRoute::kDigest:
    case UpdateRoute::kInterRegion:
      break;
  }
}

bool RegionBroadcaster::IsRelay() const {
  return IsActingAsRelay(timers_.Now());
}

bool RegionBroadcaster::IsActingAsRelay(MonotonicTime now) const {
  const auto own = relays_.find(options_.failure_domain);
  const bool is_chosen = own != relays_.end() && own->second.host == own_hash_;
  return UsesRelays() &&
         (is_chosen || (relay_requested_at_ &&
                        now - *relay_requested_at_ < kRelayActiveTime));
}

void RegionBroadcaster::RunRelay() {
  const MonotonicTime now = timers_.Now();
  if (UsesRelays()) {
    (void)RelayOf(options_.failure_domain, now);
    if (IsActingAsRelay(now)) {
      SendDigest(now);
      SendExchange(now);
    } else {
      ClearRelayQueues();
    }
  }
  timers_.RunAfter(kRelayPeriod, [self = self_] {
    if (*self != nullptr) {
      (*self)->RunRelay();
    }
  });
}

void RegionBroadcaster::ClearRelayQueues() {
  digest_queue_ = UpdateQueue();
  exchange_queue_ = UpdateQueue();
}

void RegionBroadcaster::SendDigest(MonotonicTime now) {
  PeerUpdate digest = digest_queue_.Take(kMaxRelayDatagramBytes, now);
  digest.way = UpdateRoute::kDigest;
  digest.sender = own_hash_;
  sender_.Send(domain_addresses_, digest);
}

void RegionBroadcaster::SendExchange(MonotonicTime now) {
  std::vector<std::string> addresses;
  for (const FailureDomainName& domain : other_domains_) {
    const std::uint32_t relay = RelayOf(domain, now);
    if (relay != 0) {
      addresses.push_back(AddressOf(relay));
      exchanged_with_.erase(relay);
    }
  }
  // A relay that sent to this host expects its answers, even if this host chose
  // another relay for that domain.
  std::erase_if(exchanged_with_, [now](const auto& other) {
    return now - other.second >= kRelayActiveTime;
  });
  for (const auto& [host, at] : exchanged_with_) {
    if (peer_statuses_.contains(host)) {
      addresses.push_back(AddressOf(host));
    }
  }
  // When this host is disconnected from all other domains, the queue would keep
  // old loads of this domain's targets and send them after the reconnection, so
  // that idle targets would look full. So it is emptied.
  if (addresses.empty()) {
    exchange_queue_ = UpdateQueue();
    return;
  }
  PeerUpdate exchange = exchange_queue_.Take(kMaxRelayDatagramBytes, now);
  exchange.way = UpdateRoute::kExchange;
  exchange.sender = own_hash_;
  sender_.Send(addresses, exchange);
}

std::uint32_t RegionBroadcaster::RelayOf(const FailureDomainName& domain,
                                         MonotonicTime now) {
  RelayChoice& choice = relays_[domain];
  const bool was_silent = ExcludeIfSilent(choice, now);
  const std::uint32_t first = PreferredRelay(domain, now);
  if (first != choice.host) {
    choice = {.host = first, .chosen_at = now};
    if (options_.on_relay_changed) {
      options_.on_relay_changed({.failure_domain = domain,
                                 .relay = NameOf(first),
                                 .was_silent = was_silent});
    }
  }
  return choice.host;
}

bool RegionBroadcaster::ExcludeIfSilent(const RelayChoice& choice,
                                        MonotonicTime now) {
  const auto source = peer_statuses_.find(choice.host);
  if (source == peer_statuses_.end()) {
    return false;
  }
  const MonotonicTime since = std::max(
      choice.chosen_at, source->second.relayed_at.value_or(MonotonicTime()));
  if (now - since <= kRelayTimeout) {
    return false;
  }
  source->second.excluded_until = now + kRelayExclusionTime;
  return true;
}

HostName RegionBroadcaster::NameOf(std::uint32_t host) const {
  if (host == own_hash_) {
    return options_.host;
  }
  const auto found = peer_statuses_.find(host);
  return found == peer_statuses_.end() ? HostName()
                                       : peers_[found->second.peer].host;
}

std::uint32_t RegionBroadcaster::PreferredRelay(const FailureDomainName& domain,
                                                MonotonicTime now) const {
  std::vector<replication::ReaderCandidate> candidates;
  if (domain == options_.failure_domain) {
    candidates.push_back(
        {.host = options_.host, .link_mbps = options_.link_mbps});
  }
  for (const auto& [hash, source] : peer_statuses_) {
    const Peer& peer = peers_[source.peer];
    const bool is_candidate = peer.failure_domain == domain &&
                              source.last_seen_at &&
                              now - *source.last_seen_at < kLivenessTimeout &&
                              now >= source.excluded_until;
    if (is_candidate) {
      candidates.push_back({.host = peer.host, .link_mbps = peer.link_mbps});
    }
  }
  const replication::ReaderCandidate* const first =
      replication::ChooseReader(kRelayHashSeed, candidates);
  return first == nullptr ? 0 : membership::HashOf(first->host);
}

std::string RegionBroadcaster::AddressOf(std::uint32_t host) const {
  const auto found = peer_statuses_.find(host);
  return found == peer_statuses_.end() ? std::string()
                                       : peers_[found->second.peer].address;
}

}  // namespace medlarcroft::peer_updates
