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

/// @brief Receives the updates delivered to each host.
class UpdateListener {
 public:
  virtual ~UpdateListener() = default;
  virtual void OnUpdateReceived(std::size_t host, const PeerUpdate& update) = 0;
};

/// @brief Simulates hosts in three regions of three failure domains each, in
/// virtual time, with datagram loss, disconnects, pauses and restarts.
class MultiRegionSimulation {
 public:
  struct Options {
    std::size_t hosts = 8;
    double loss_rate = 0;  ///< Fraction of datagrams lost.
    std::uint64_t seed = 1;
  };

  MultiRegionSimulation(const Options& options, UpdateListener& listener)
      : options_(options), listener_(listener), random_(options.seed) {
    for (std::size_t index = 0; index < options.hosts; ++index) {
      hosts_.push_back(std::make_unique<Host>(*this, index));
    }
    for (std::size_t index = 0; index < options.hosts; ++index) {
      Start(index);
    }
  }

  void RunFor(Duration time) { time_.RunUntil(time_.Now() + time); }
  void After(Duration delay, std::function<void()> task) {
    time_.At(fakes::VirtualTime::kNoHost, time_.Now() + delay, std::move(task));
  }
  [[nodiscard]] MonotonicTime Now() const { return time_.Now(); }
  [[nodiscard]] std::size_t Size() const { return hosts_.size(); }
  [[nodiscard]] std::size_t RegionOf(std::size_t index) const {
    return index % kRegions;
  }
  [[nodiscard]] fakes::SeededRandom& Random() { return random_; }
  [[nodiscard]] GlobalBroadcaster& At(std::size_t index) {
    return hosts_[index]->global;
  }

  void Disconnect(std::size_t index) { disconnected_.insert(index); }
  void Reconnect(std::size_t index) { disconnected_.erase(index); }
  void Pause(std::size_t index, Duration length) {
    time_.Pause(static_cast<int>(index), time_.Now() + length);
  }
  /// @brief Replaces the host with one without any state.
  void Restart(std::size_t index) {
    time_.Kill(static_cast<int>(index));
    hosts_[index] = std::make_unique<Host>(*this, index);
    Start(index);
  }
  [[nodiscard]] bool IsDisconnected(std::size_t index) const {
    return disconnected_.contains(index);
  }
  [[nodiscard]] bool IsPaused(std::size_t index) const {
    return time_.IsPaused(static_cast<int>(index));
  }

 private:
  static constexpr std::size_t kRegions = 3;
  static constexpr std::size_t kDomains = 3;

  struct Host final : public UpdateSender {
    Host(MultiRegionSimulation& all, std::size_t index)
        : all(all),
          index(index),
          timers(all.time_, static_cast<int>(index)),
          region({.host = NameAt(index),
                  .failure_domain = all.DomainAt(index),
                  .link_mbps = 100},
                 timers,
                 *this),
          global(NameAt(index),
                 {.region = region,
                  .sender = *this,
                  .random = all.random_,
                  .remote_hosts = [this] { return RemoteHosts(); }}) {}

    void Send(std::span<const std::string> addresses,
              const PeerUpdate& sent) override {
      for (const std::string& address : addresses) {
        all.Deliver(index, std::stoul(address), sent);
      }
    }
    [[nodiscard]] std::vector<RemoteHost> RemoteHosts() const {
      std::vector<RemoteHost> hosts;
      for (std::size_t other = 0; other < all.Size(); ++other) {
        if (all.RegionOf(other) != all.RegionOf(index)) {
          hosts.push_back(
              {.region = RegionName(std::to_string(all.RegionOf(other))),
               .address = std::to_string(other)});
        }
      }
      return hosts;
    }

    MultiRegionSimulation& all;
    std::size_t index;
    fakes::HostTimers timers;
    RegionBroadcaster region;
    GlobalBroadcaster global;
    std::uint32_t sequence = 0;
  };

  static HostName NameAt(std::size_t index) {
    return HostName("edge-" + std::to_string(index));
  }
  [[nodiscard]] FailureDomainName DomainAt(std::size_t index) const {
    return FailureDomainName("r" + std::to_string(index % kRegions) + "z" +
                             std::to_string(index / kRegions % kDomains));
  }

  void Start(std::size_t index) {
    Host& host = *hosts_[index];
    std::vector<Peer> peers;
    for (std::size_t other = 0; other < Size(); ++other) {
      if (other != index && RegionOf(other) == RegionOf(index)) {
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
      host.region.OnUpdate({.sender = membership::HashOf(peer.host)});
    }
    SendHeartbeat(host);
  }

  void SendHeartbeat(Host& host) {
    host.region.BroadcastHeartbeat(
        {.host_hash = membership::HashOf(NameAt(host.index)),
         .sequence = ++host.sequence});
    host.timers.RunAfter(kHeartbeatPeriod,
                         [this, &host] { SendHeartbeat(host); });
  }

  void Deliver(std::size_t from, std::size_t to, const PeerUpdate& update) {
    if (IsDisconnected(from) || IsDisconnected(to) ||
        random_.NextUnit() < options_.loss_rate) {
      return;
    }
    const Duration latency =
        std::chrono::milliseconds(RegionOf(from) == RegionOf(to) ? 1 : 55);
    time_.At(static_cast<int>(to), time_.Now() + latency, [this, to, update] {
      hosts_[to]->region.OnUpdate(update);
      hosts_[to]->global.OnUpdate(update);
      listener_.OnUpdateReceived(to, update);
    });
  }

  Options options_;
  UpdateListener& listener_;
  fakes::VirtualTime time_;
  fakes::SeededRandom random_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::set<std::size_t> disconnected_;
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_MULTI_REGION_SIMULATION_H_
