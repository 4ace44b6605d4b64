#include "medlarcroft/peer_updates/region_broadcaster.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "medlarcroft/peer_updates/update_timing.h"
#include "medlarcroft/replication/reader_choice.h"

namespace medlarcroft::peer_updates {

namespace {

constexpr std::string_view kRelayOrder = "news";

}  // namespace

RegionBroadcaster::RegionBroadcaster(Options options,
                                     ports::Timers& timers,
                                     UpdateSender& sender)
    : options_(std::move(options)),
      own_hash_(membership::HashOf(options_.host)),
      timers_(timers),
      sender_(sender),
      next_told_(own_hash_) {}

RegionBroadcaster::~RegionBroadcaster() {
  *self_ = nullptr;
}

void RegionBroadcaster::Start() {
  Relay();
}

void RegionBroadcaster::SetPeers(std::vector<Peer> peers) {
  std::unordered_map<std::uint32_t, Source> sources;
  peers_ = std::move(peers);
  peer_addresses_.clear();
  domain_addresses_.clear();
  other_domains_.clear();
  for (std::size_t place = 0; place < peers_.size(); ++place) {
    const Peer& peer = peers_[place];
    const std::uint32_t hash = membership::HashOf(peer.host);
    const auto known = sources_.find(hash);
    Source source = known == sources_.end() ? Source{} : known->second;
    source.peer = place;
    sources.emplace(hash, source);
    peer_addresses_.push_back(peer.address);
    if (peer.failure_domain == options_.failure_domain) {
      domain_addresses_.push_back(peer.address);
    } else if (std::ranges::find(other_domains_, peer.failure_domain) ==
               other_domains_.end()) {
      other_domains_.push_back(peer.failure_domain);
    }
  }
  sources_ = std::move(sources);
}

bool RegionBroadcaster::UsesRelays() const {
  return !UsesDirectDelivery(peers_.size());
}

void RegionBroadcaster::TellPlaced(const PlacedObject& placed) {
  pending_.placed.push_back(placed);
  if (pending_.placed.size() >= kMostPlacedTogether) {
    SendOwn();
  } else {
    SendSoon(UsesRelays() ? kReportBatchDelay : PlacedNewsDelay(peers_.size()));
  }
}

void RegionBroadcaster::TellLoad(const ReportedLoad& load) {
  pending_loads_[load.target] = load.requests;
  if (pending_loads_.size() >= kMostLoadsTogether) {
    SendOwn();
  } else {
    SendSoon(kReportBatchDelay);
  }
}

void RegionBroadcaster::TellCrashes(
    std::span<const request_path::CrashReport> reports) {
  if (reports.empty()) {
    return;
  }
  pending_.crashes.insert(pending_.crashes.end(), reports.begin(),
                          reports.end());
  if (pending_.crashes.size() >= kMostCrashesTogether) {
    SendOwn();
  } else {
    SendSoon(kReportBatchDelay);
  }
}

void RegionBroadcaster::TellLimits(
    std::span<const request_path::LimitReport> reports) {
  if (reports.empty()) {
    return;
  }
  for (const request_path::LimitReport& report : reports) {
    pending_limits_[report.target] = report;
  }
  SendSoon(kReportBatchDelay);
}

void RegionBroadcaster::BroadcastHeartbeat(
    const membership::Heartbeat& heartbeat) {
  pending_.heartbeats.push_back(heartbeat);
  SendOwn();
}

void RegionBroadcaster::BroadcastState(const membership::HostState& state) {
  sender_.Send(peer_addresses_, {.sender = own_hash_, .state = state});
}

void RegionBroadcaster::SendStateToNextPeers(
    const membership::HostState& state) {
  const std::size_t count = std::min(kStatesABeat, peer_addresses_.size());
  std::vector<std::string> addresses;
  for (std::size_t told = 0; told < count; ++told) {
    addresses.push_back(peer_addresses_[next_told_++ % peer_addresses_.size()]);
  }
  sender_.Send(addresses, {.sender = own_hash_, .state = state});
}

void RegionBroadcaster::SendSoon(Duration delay) {
  if (std::exchange(is_sending_soon_, true)) {
    return;
  }
  timers_.RunAfter(delay, [self = self_] {
    if (*self != nullptr) {
      (*self)->SendOwn();
    }
  });
}

void RegionBroadcaster::SendOwn() {
  is_sending_soon_ = false;
  for (const auto& [target, requests] : std::exchange(pending_loads_, {})) {
    pending_.loads.push_back({.target = target, .requests = requests});
  }
  PeerUpdate news = std::exchange(pending_, {});
  // Sent in separate datagrams to limit the datagram size.
  const std::vector<request_path::CrashReport> crashes =
      std::exchange(news.crashes, {});
  SendReports<request_path::CrashReport>(&PeerUpdate::crashes, crashes,
                                         kMostCrashesTogether);
  std::vector<request_path::LimitReport> limits;
  for (const auto& [target, report] : std::exchange(pending_limits_, {})) {
    limits.push_back(report);
  }
  SendReports<request_path::LimitReport>(&PeerUpdate::limits, limits,
                                         kMostLimitsTogether);
  if (!news.placed.empty() || !news.loads.empty() || !news.heartbeats.empty()) {
    SendToRegion(std::move(news));
  }
}

template <typename Report>
void RegionBroadcaster::SendReports(std::vector<Report> PeerUpdate::*field,
                                    std::span<const Report> reports,
                                    std::size_t most_per_datagram) {
  for (std::size_t begin = 0; begin < reports.size();
       begin += most_per_datagram) {
    const auto part = reports.subspan(
        begin, std::min(most_per_datagram, reports.size() - begin));
    PeerUpdate news;
    (news.*field).assign(part.begin(), part.end());
    SendToRegion(std::move(news));
  }
}

void RegionBroadcaster::SendToRegion(PeerUpdate news) {
  news.sender = own_hash_;
  if (!UsesRelays()) {
    sender_.Send(peer_addresses_, news);
    return;
  }
  const MonotonicTime now = timers_.Now();
  const std::uint32_t relay = RelayOf(options_.failure_domain, now);
  if (relay != own_hash_) {
    news.way = UpdateRoute::kReport;
    const std::string address = AddressOf(relay);
    sender_.Send(std::span(&address, 1), news);
    return;
  }
  digest_.Add(news, now);
  exchange_.Add(news, now);
}

void RegionBroadcaster::OnNews(const PeerUpdate& news) {
  const MonotonicTime now = timers_.Now();
  const auto source = sources_.find(news.sender);
  if (source != sources_.end()) {
    source->second.heard_at = now;
    if (news.way == UpdateRoute::kExchange ||
        news.way == UpdateRoute::kDigest) {
      source->second.relayed_at = now;
    }
  }
  for (const membership::Heartbeat& heartbeat : news.heartbeats) {
    const auto beating = sources_.find(heartbeat.host_hash);
    if (beating != sources_.end()) {
      Source& heard = beating->second;
      heard.heard_at = std::max(heard.heard_at.value_or(MonotonicTime()),
                                now - heartbeat.age);
    }
  }
  switch (news.way) {
    case UpdateRoute::kReport:
      asked_at_ = now;
      digest_.Add(news, now);
      exchange_.Add(news, now);
      break;
    case UpdateRoute::kExchange:
      asked_at_ = now;
      digest_.Add(news, now);
      exchanged_with_[news.sender] = now;
      break;
    case UpdateRoute::kDirect:
    case UpdateRoute::kDigest:
    case UpdateRoute::kInterRegion:
      break;
  }
}

bool RegionBroadcaster::IsRelay() const {
  return IsActing(timers_.Now());
}

bool RegionBroadcaster::IsActing(MonotonicTime now) const {
  const auto own = relays_.find(options_.failure_domain);
  const bool is_chosen = own != relays_.end() && own->second.host == own_hash_;
  return UsesRelays() &&
         (is_chosen || (asked_at_ && now - *asked_at_ < kRelayAfterAsked));
}

void RegionBroadcaster::Relay() {
  const MonotonicTime now = timers_.Now();
  if (UsesRelays()) {
    (void)RelayOf(options_.failure_domain, now);
    if (IsActing(now)) {
      SendDigest(now);
      SendExchange(now);
    } else {
      DropGathered();
    }
  }
  timers_.RunAfter(kRelayPeriod, [self = self_] {
    if (*self != nullptr) {
      (*self)->Relay();
    }
  });
}

void RegionBroadcaster::DropGathered() {
  digest_ = UpdateQueue();
  exchange_ = UpdateQueue();
}

void RegionBroadcaster::SendDigest(MonotonicTime now) {
  PeerUpdate digest = digest_.Take(kMostDigestBytes, now);
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
  // Whoever counts on this host hears from it, also when it is not counted on.
  std::erase_if(exchanged_with_, [now](const auto& other) {
    return now - other.second >= kRelayAfterAsked;
  });
  for (const auto& [host, at] : exchanged_with_) {
    if (sources_.contains(host)) {
      addresses.push_back(AddressOf(host));
    }
  }
  // Failure: no other domain is heard, by a cut. Symptom: what this domain's
  // targets had long ago comes as news when the cut ends, and idle ones look
  // full.
  if (addresses.empty()) {
    exchange_ = UpdateQueue();
    return;
  }
  PeerUpdate exchange = exchange_.Take(kMostDigestBytes, now);
  exchange.way = UpdateRoute::kExchange;
  exchange.sender = own_hash_;
  sender_.Send(addresses, exchange);
}

std::uint32_t RegionBroadcaster::RelayOf(const FailureDomainName& domain,
                                         MonotonicTime now) {
  Choice& choice = relays_[domain];
  const bool was_silent = PassOverIfSilent(choice, now);
  const std::uint32_t first = FirstInOrder(domain, now);
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

bool RegionBroadcaster::PassOverIfSilent(const Choice& choice,
                                         MonotonicTime now) {
  const auto source = sources_.find(choice.host);
  if (source == sources_.end()) {
    return false;
  }
  const MonotonicTime since = std::max(
      choice.chosen_at, source->second.relayed_at.value_or(MonotonicTime()));
  if (now - since <= kRelaySilence) {
    return false;
  }
  source->second.passed_over_until = now + kPassedOver;
  return true;
}

HostName RegionBroadcaster::NameOf(std::uint32_t host) const {
  if (host == own_hash_) {
    return options_.host;
  }
  const auto found = sources_.find(host);
  return found == sources_.end() ? HostName() : peers_[found->second.peer].host;
}

std::uint32_t RegionBroadcaster::FirstInOrder(const FailureDomainName& domain,
                                              MonotonicTime now) const {
  std::vector<replication::ReaderCandidate> candidates;
  if (domain == options_.failure_domain) {
    candidates.push_back(
        {.host = options_.host, .link_mbps = options_.link_mbps});
  }
  for (const auto& [hash, source] : sources_) {
    const Peer& peer = peers_[source.peer];
    const bool is_candidate = peer.failure_domain == domain &&
                              source.heard_at &&
                              now - *source.heard_at < kLivenessTimeout &&
                              now >= source.passed_over_until;
    if (is_candidate) {
      candidates.push_back({.host = peer.host, .link_mbps = peer.link_mbps});
    }
  }
  const replication::ReaderCandidate* const first =
      replication::ChooseReader(kRelayOrder, candidates);
  return first == nullptr ? 0 : membership::HashOf(first->host);
}

std::string RegionBroadcaster::AddressOf(std::uint32_t host) const {
  const auto found = sources_.find(host);
  return found == sources_.end() ? std::string()
                                 : peers_[found->second.peer].address;
}

}  // namespace medlarcroft::peer_updates
