#ifndef MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_REGION_SIMULATION_H_
#define MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_REGION_SIMULATION_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/virtual_time.h"
#include "medlarcroft/peer_updates/region_broadcaster.h"
#include "medlarcroft/peer_updates/update_timing.h"

namespace medlarcroft::peer_updates {

/// @brief Hosts of one region that tell each other by datagrams, in virtual
/// time; any of them may be killed, paused or cut off.
class RegionOfHosts {
 public:
  struct Shape {
    std::size_t domains = 3;
    std::size_t hosts_a_domain = 33;
    std::size_t large_hosts_a_domain = 3;
  };

  explicit RegionOfHosts(const Shape& shape) : shape_(shape) {
    const std::size_t count = shape.domains * shape.hosts_a_domain;
    for (std::size_t place = 0; place < count; ++place) {
      hosts_.push_back(std::make_unique<Host>(*this, place));
    }
    for (std::size_t place = 0; place < count; ++place) {
      Host& host = *hosts_[place];
      host.news.SetPeers(PeersOf(place));
      host.news.Start();
      // All have heard of each other, as hosts that introduced themselves.
      for (std::size_t other = 0; other < count; ++other) {
        host.news.OnNews({.sender = HashAt(other)});
      }
      Beat(place);
    }
  }

  void RunFor(Duration time) { time_.RunUntil(time_.Now() + time); }
  [[nodiscard]] MonotonicTime Now() const { return time_.Now(); }
  [[nodiscard]] std::size_t Size() const { return hosts_.size(); }

  void Kill(std::size_t place) { time_.Kill(static_cast<int>(place)); }
  void Pause(std::size_t place, Duration length) {
    time_.Pause(static_cast<int>(place), time_.Now() + length);
  }
  void Cut(std::size_t place) { cut_.insert(place); }
  void Heal(std::size_t place) { cut_.erase(place); }
  /// @brief Cuts a domain off from the others; its hosts reach each other.
  void CutDomain(std::size_t domain) { cut_domain_ = domain; }
  void HealDomain() { cut_domain_.reset(); }

  void TellPlaced(std::size_t place, std::uint32_t object) {
    hosts_[place]->news.TellPlaced(
        {.target = request_path::TargetNumber{1},
         .object = request_path::ObjectKey::FromValue(object)});
  }
  void TellLoad(std::size_t place, std::uint32_t target, std::uint32_t load) {
    hosts_[place]->news.TellLoad(
        {.target = request_path::TargetNumber{target}, .requests = load});
  }

  /// @return whether that host has heard of the object.
  [[nodiscard]] bool HasHeard(std::size_t place, std::uint32_t object) const {
    return hosts_[place]->objects.contains(object);
  }
  [[nodiscard]] std::optional<std::uint32_t> LoadAt(
      std::size_t place,
      std::uint32_t target) const {
    const auto found = hosts_[place]->loads.find(target);
    return found == hosts_[place]->loads.end() ? std::nullopt
                                               : std::optional(found->second);
  }
  /// @return since that host last heard a sign of life of the other.
  [[nodiscard]] Duration AgeAt(std::size_t place, std::size_t other) const {
    return Now() - hosts_[place]->beats[HashAt(other)];
  }
  [[nodiscard]] std::vector<std::size_t> RelaysOf(std::size_t domain) const {
    std::vector<std::size_t> relays;
    for (std::size_t place = 0; place < hosts_.size(); ++place) {
      if (place % shape_.domains == domain && hosts_[place]->news.IsRelay()) {
        relays.push_back(place);
      }
    }
    return relays;
  }
  /// @return all datagrams that were sent so far.
  [[nodiscard]] std::size_t Datagrams() const { return datagrams_; }
  /// @return bytes of news that the host heard so far.
  [[nodiscard]] std::size_t BytesHeard(std::size_t place) const {
    return hosts_[place]->bytes;
  }

 private:
  struct Host final : public UpdateSender {
    Host(RegionOfHosts& region, std::size_t place)
        : region(region),
          place(place),
          timers(region.time_, static_cast<int>(place)),
          news({.host = NameAt(place),
                .failure_domain = region.DomainAt(place),
                .link_mbps = region.LinkAt(place)},
               timers,
               *this) {}

    void Send(std::span<const std::string> addresses,
              const PeerUpdate& sent) override {
      for (const std::string& address : addresses) {
        region.Deliver(place, std::stoul(address), sent);
      }
    }

    RegionOfHosts& region;
    std::size_t place;
    fakes::HostTimers timers;
    RegionBroadcaster news;
    std::set<std::uint32_t> objects;
    std::map<std::uint32_t, std::uint32_t> loads;
    std::map<std::uint32_t, MonotonicTime> beats;
    std::uint32_t sequence = 0;
    std::size_t bytes = 0;
  };

  static HostName NameAt(std::size_t place) {
    return HostName("edge-" + std::to_string(place));
  }
  static std::uint32_t HashAt(std::size_t place) {
    return membership::HashOf(NameAt(place));
  }
  [[nodiscard]] FailureDomainName DomainAt(std::size_t place) const {
    return FailureDomainName("z" + std::to_string(place % shape_.domains));
  }
  [[nodiscard]] double LinkAt(std::size_t place) const {
    constexpr double kLarge = 200;
    constexpr double kSmall = 20;
    return place / shape_.domains < shape_.large_hosts_a_domain ? kLarge
                                                                : kSmall;
  }
  [[nodiscard]] std::vector<Peer> PeersOf(std::size_t place) const {
    std::vector<Peer> peers;
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (other != place) {
        peers.push_back({.host = NameAt(other),
                         .address = std::to_string(other),
                         .failure_domain = DomainAt(other),
                         .link_mbps = LinkAt(other)});
      }
    }
    return peers;
  }

  void Beat(std::size_t place) {
    Host& host = *hosts_[place];
    host.news.BroadcastHeartbeat(
        {.host_hash = HashAt(place), .sequence = ++host.sequence});
    membership::HostState state;
    state.host = NameAt(place);
    host.news.SendStateToNextPeers(state);
    host.timers.RunAfter(kHeartbeatPeriod, [this, place] { Beat(place); });
  }

  void Deliver(std::size_t from, std::size_t to, const PeerUpdate& news) {
    ++datagrams_;
    const bool is_across_cut =
        cut_domain_ && (from % shape_.domains == *cut_domain_) !=
                           (to % shape_.domains == *cut_domain_);
    if (cut_.contains(from) || cut_.contains(to) || is_across_cut) {
      return;
    }
    constexpr Duration kWay = std::chrono::milliseconds(1);
    time_.At(static_cast<int>(to), time_.Now() + kWay,
             [this, to, news] { Hear(*hosts_[to], news); });
  }

  void Hear(Host& host, const PeerUpdate& news) {
    host.bytes += news.placed.size() * kPlacedBytes +
                  news.loads.size() * kLoadBytes +
                  news.heartbeats.size() * membership::kHeartbeatBytes;
    host.news.OnNews(news);
    for (const PlacedObject& placed : news.placed) {
      host.objects.insert(placed.object.Value());
    }
    for (const ReportedLoad& load : news.loads) {
      host.loads[static_cast<std::uint32_t>(load.target)] = load.requests;
    }
    for (const membership::Heartbeat& beat : news.heartbeats) {
      MonotonicTime& heard_at = host.beats[beat.host_hash];
      heard_at = std::max(heard_at, Now() - beat.age);
    }
  }

  Shape shape_;
  fakes::VirtualTime time_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::set<std::size_t> cut_;
  std::optional<std::size_t> cut_domain_;
  std::size_t datagrams_ = 0;
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_REGION_SIMULATION_H_
