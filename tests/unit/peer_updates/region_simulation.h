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

/// @brief Simulates the hosts of one region, which exchange datagrams in
/// virtual time. Any of them may be killed, paused or disconnected.
class RegionSimulation {
 public:
  struct Shape {
    std::size_t domains = 3;
    std::size_t hosts_per_domain = 33;
    std::size_t large_hosts_per_domain = 3;
  };

  explicit RegionSimulation(const Shape& shape) : shape_(shape) {
    const std::size_t count = shape.domains * shape.hosts_per_domain;
    for (std::size_t index = 0; index < count; ++index) {
      hosts_.push_back(std::make_unique<Host>(*this, index));
    }
    for (std::size_t index = 0; index < count; ++index) {
      Host& host = *hosts_[index];
      host.broadcaster.SetPeers(PeersOf(index));
      host.broadcaster.Start();
      // All hosts have received an update from each other, as after a start.
      for (std::size_t other = 0; other < count; ++other) {
        host.broadcaster.OnUpdate({.sender = HashAt(other)});
      }
      SendHeartbeat(index);
    }
  }

  void RunFor(Duration time) { time_.RunUntil(time_.Now() + time); }
  [[nodiscard]] MonotonicTime Now() const { return time_.Now(); }
  [[nodiscard]] std::size_t Size() const { return hosts_.size(); }

  void Kill(std::size_t index) { time_.Kill(static_cast<int>(index)); }
  void Pause(std::size_t index, Duration length) {
    time_.Pause(static_cast<int>(index), time_.Now() + length);
  }
  void Disconnect(std::size_t index) { disconnected_.insert(index); }
  void Reconnect(std::size_t index) { disconnected_.erase(index); }
  /// @brief Disconnects a domain from the others; its hosts still reach each
  /// other.
  void DisconnectDomain(std::size_t domain) { disconnected_domain_ = domain; }
  void ReconnectDomain() { disconnected_domain_.reset(); }

  void BroadcastPlacement(std::size_t index, std::uint32_t object) {
    hosts_[index]->broadcaster.BroadcastPlacement(
        {.target = request_path::TargetNumber{1},
         .object = request_path::ObjectKey::FromValue(object)});
  }
  void BroadcastLoad(std::size_t index,
                     std::uint32_t target,
                     std::uint32_t load) {
    hosts_[index]->broadcaster.BroadcastLoad(
        {.target = request_path::TargetNumber{target}, .requests = load});
  }

  /// @return whether that host has received the placement of the object.
  [[nodiscard]] bool HasReceived(std::size_t index,
                                 std::uint32_t object) const {
    return hosts_[index]->objects.contains(object);
  }
  [[nodiscard]] std::optional<std::uint32_t> LoadAt(
      std::size_t index,
      std::uint32_t target) const {
    const auto found = hosts_[index]->loads.find(target);
    return found == hosts_[index]->loads.end() ? std::nullopt
                                               : std::optional(found->second);
  }
  /// @return the age of the newest heartbeat of `other` that host `index` has
  /// received.
  [[nodiscard]] Duration AgeAt(std::size_t index, std::size_t other) const {
    return Now() - hosts_[index]->heartbeat_times[HashAt(other)];
  }
  [[nodiscard]] std::vector<std::size_t> RelaysOf(std::size_t domain) const {
    std::vector<std::size_t> relays;
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
      if (index % shape_.domains == domain &&
          hosts_[index]->broadcaster.IsRelay()) {
        relays.push_back(index);
      }
    }
    return relays;
  }
  /// @return the number of datagrams sent so far.
  [[nodiscard]] std::size_t Datagrams() const { return datagrams_; }
  /// @return the bytes of updates that the host received so far.
  [[nodiscard]] std::size_t BytesReceived(std::size_t index) const {
    return hosts_[index]->bytes;
  }

 private:
  struct Host final : public UpdateSender {
    Host(RegionSimulation& region, std::size_t index)
        : region(region),
          index(index),
          timers(region.time_, static_cast<int>(index)),
          broadcaster({.host = NameAt(index),
                       .failure_domain = region.DomainAt(index),
                       .link_mbps = region.LinkAt(index)},
                      timers,
                      *this) {}

    void Send(std::span<const std::string> addresses,
              const PeerUpdate& sent) override {
      for (const std::string& address : addresses) {
        region.Deliver(index, std::stoul(address), sent);
      }
    }

    RegionSimulation& region;
    std::size_t index;
    fakes::HostTimers timers;
    RegionBroadcaster broadcaster;
    std::set<std::uint32_t> objects;
    std::map<std::uint32_t, std::uint32_t> loads;
    std::map<std::uint32_t, MonotonicTime> heartbeat_times;
    std::uint32_t sequence = 0;
    std::size_t bytes = 0;
  };

  static HostName NameAt(std::size_t index) {
    return HostName("edge-" + std::to_string(index));
  }
  static std::uint32_t HashAt(std::size_t index) {
    return membership::HashOf(NameAt(index));
  }
  [[nodiscard]] FailureDomainName DomainAt(std::size_t index) const {
    return FailureDomainName("z" + std::to_string(index % shape_.domains));
  }
  [[nodiscard]] double LinkAt(std::size_t index) const {
    constexpr double kLarge = 200;
    constexpr double kSmall = 20;
    return index / shape_.domains < shape_.large_hosts_per_domain ? kLarge
                                                                  : kSmall;
  }
  [[nodiscard]] std::vector<Peer> PeersOf(std::size_t index) const {
    std::vector<Peer> peers;
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (other != index) {
        peers.push_back({.host = NameAt(other),
                         .address = std::to_string(other),
                         .failure_domain = DomainAt(other),
                         .link_mbps = LinkAt(other)});
      }
    }
    return peers;
  }

  void SendHeartbeat(std::size_t index) {
    Host& host = *hosts_[index];
    host.broadcaster.BroadcastHeartbeat(
        {.host_hash = HashAt(index), .sequence = ++host.sequence});
    membership::HostState state;
    state.host = NameAt(index);
    host.broadcaster.SendStateToNextPeers(state);
    host.timers.RunAfter(kHeartbeatPeriod,
                         [this, index] { SendHeartbeat(index); });
  }

  void Deliver(std::size_t from, std::size_t to, const PeerUpdate& update) {
    ++datagrams_;
    const bool is_between_disconnected_domains =
        disconnected_domain_ &&
        (from % shape_.domains == *disconnected_domain_) !=
            (to % shape_.domains == *disconnected_domain_);
    if (disconnected_.contains(from) || disconnected_.contains(to) ||
        is_between_disconnected_domains) {
      return;
    }
    constexpr Duration kLatency = std::chrono::milliseconds(1);
    time_.At(static_cast<int>(to), time_.Now() + kLatency,
             [this, to, update] { Receive(*hosts_[to], update); });
  }

  void Receive(Host& host, const PeerUpdate& update) {
    host.bytes += update.placed.size() * kPlacedBytes +
                  update.loads.size() * kLoadBytes +
                  update.heartbeats.size() * membership::kHeartbeatBytes;
    host.broadcaster.OnUpdate(update);
    for (const PlacedObject& placed : update.placed) {
      host.objects.insert(placed.object.Value());
    }
    for (const ReportedLoad& load : update.loads) {
      host.loads[static_cast<std::uint32_t>(load.target)] = load.requests;
    }
    for (const membership::Heartbeat& heartbeat : update.heartbeats) {
      MonotonicTime& last_heartbeat_at =
          host.heartbeat_times[heartbeat.host_hash];
      last_heartbeat_at = std::max(last_heartbeat_at, Now() - heartbeat.age);
    }
  }

  Shape shape_;
  fakes::VirtualTime time_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::set<std::size_t> disconnected_;
  std::optional<std::size_t> disconnected_domain_;
  std::size_t datagrams_ = 0;
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_TESTS_UNIT_PEER_UPDATES_REGION_SIMULATION_H_
