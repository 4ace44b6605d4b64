#ifndef MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_MULTI_REGION_SIMULATION_H_
#define MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_MULTI_REGION_SIMULATION_H_

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "fakes/virtual_time.h"
#include "medlarcroft/peer_updates/global_broadcaster.h"
#include "medlarcroft/peer_updates/update_timing.h"

namespace medlarcroft::peer_updates {

/// @brief Receives the news delivered to each host.
class HostListener {
 public:
  virtual ~HostListener() = default;
  virtual void OnHeard(std::size_t host, const PeerUpdate& news) = 0;
};

/// @brief Simulates hosts in three regions of three failure domains each, in
/// virtual time, with datagram loss, disconnects, pauses and restarts.
class HostsOfRegions {
 public:
  struct Options {
    std::size_t hosts = 8;
    double lost_part = 0;  ///< Fraction of datagrams lost.
    std::uint64_t seed = 1;
  };

  HostsOfRegions(const Options& options, HostListener& listener)
      : options_(options), listener_(listener), random_(options.seed) {
    for (std::size_t place = 0; place < options.hosts; ++place) {
      hosts_.push_back(std::make_unique<Host>(*this, place));
    }
    for (std::size_t place = 0; place < options.hosts; ++place) {
      Start(place);
    }
  }

  void RunFor(Duration time) { time_.RunUntil(time_.Now() + time); }
  void After(Duration delay, std::function<void()> task) {
    time_.At(fakes::VirtualTime::kNoHost, time_.Now() + delay, std::move(task));
  }
  [[nodiscard]] MonotonicTime Now() const { return time_.Now(); }
  [[nodiscard]] std::size_t Size() const { return hosts_.size(); }
  [[nodiscard]] std::size_t RegionOf(std::size_t place) const {
    return place % kRegions;
  }
  [[nodiscard]] fakes::SeededRandom& Random() { return random_; }
  [[nodiscard]] GlobalBroadcaster& At(std::size_t place) {
    return hosts_[place]->global;
  }

  void Cut(std::size_t place) { cut_.insert(place); }
  void Heal(std::size_t place) { cut_.erase(place); }
  void Pause(std::size_t place, Duration length) {
    time_.Pause(static_cast<int>(place), time_.Now() + length);
  }
  /// @brief Replaces the host with one without any state.
  void Restart(std::size_t place) {
    time_.Kill(static_cast<int>(place));
    hosts_[place] = std::make_unique<Host>(*this, place);
    Start(place);
  }
  [[nodiscard]] bool IsCut(std::size_t place) const {
    return cut_.contains(place);
  }
  [[nodiscard]] bool IsPaused(std::size_t place) const {
    return time_.IsPaused(static_cast<int>(place));
  }

 private:
  static constexpr std::size_t kRegions = 3;
  static constexpr std::size_t kDomains = 3;

  struct Host final : public UpdateSender {
    Host(HostsOfRegions& all, std::size_t place)
        : all(all),
          place(place),
          timers(all.time_, static_cast<int>(place)),
          region({.host = NameAt(place),
                  .failure_domain = all.DomainAt(place),
                  .link_mbps = 100},
                 timers,
                 *this),
          global(NameAt(place),
                 {.region = region,
                  .sender = *this,
                  .random = all.random_,
                  .remote_hosts = [this] { return RemoteHosts(); }}) {}

    void Send(std::span<const std::string> addresses,
              const PeerUpdate& sent) override {
      for (const std::string& address : addresses) {
        all.Deliver(place, std::stoul(address), sent);
      }
    }
    [[nodiscard]] std::vector<RemoteHost> RemoteHosts() const {
      std::vector<RemoteHost> hosts;
      for (std::size_t other = 0; other < all.Size(); ++other) {
        if (all.RegionOf(other) != all.RegionOf(place)) {
          hosts.push_back(
              {.region = RegionName(std::to_string(all.RegionOf(other))),
               .address = std::to_string(other)});
        }
      }
      return hosts;
    }

    HostsOfRegions& all;
    std::size_t place;
    fakes::HostTimers timers;
    RegionBroadcaster region;
    GlobalBroadcaster global;
    std::uint32_t sequence = 0;
  };

  static HostName NameAt(std::size_t place) {
    return HostName("edge-" + std::to_string(place));
  }
  [[nodiscard]] FailureDomainName DomainAt(std::size_t place) const {
    return FailureDomainName("r" + std::to_string(place % kRegions) + "z" +
                             std::to_string(place / kRegions % kDomains));
  }

  void Start(std::size_t place) {
    Host& host = *hosts_[place];
    std::vector<Peer> peers;
    for (std::size_t other = 0; other < Size(); ++other) {
      if (other != place && RegionOf(other) == RegionOf(place)) {
        peers.push_back({.host = NameAt(other),
                         .address = std::to_string(other),
                         .failure_domain = DomainAt(other),
                         .link_mbps = 100});
      }
    }
    const std::vector<Peer> known = peers;
    host.region.SetPeers(std::move(peers));
    host.region.Start();
    for (const Peer& peer : known) {
      host.region.OnNews({.sender = membership::HashOf(peer.host)});
    }
    Beat(host);
  }

  void Beat(Host& host) {
    host.region.BroadcastHeartbeat(
        {.host_hash = membership::HashOf(NameAt(host.place)),
         .sequence = ++host.sequence});
    host.timers.RunAfter(kHeartbeatPeriod, [this, &host] { Beat(host); });
  }

  void Deliver(std::size_t from, std::size_t to, const PeerUpdate& news) {
    if (IsCut(from) || IsCut(to) || random_.NextUnit() < options_.lost_part) {
      return;
    }
    const Duration latency =
        std::chrono::milliseconds(RegionOf(from) == RegionOf(to) ? 1 : 55);
    time_.At(static_cast<int>(to), time_.Now() + latency, [this, to, news] {
      hosts_[to]->region.OnNews(news);
      hosts_[to]->global.OnNews(news);
      listener_.OnHeard(to, news);
    });
  }

  Options options_;
  HostListener& listener_;
  fakes::VirtualTime time_;
  fakes::SeededRandom random_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::set<std::size_t> cut_;
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_MULTI_REGION_SIMULATION_H_
