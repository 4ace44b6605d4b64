#ifndef MEDLARCROFT_PEER_UPDATES_REGION_BROADCASTER_H_
#define MEDLARCROFT_PEER_UPDATES_REGION_BROADCASTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/peer_updates/peer_update.h"
#include "medlarcroft/peer_updates/update_queue.h"
#include "medlarcroft/ports/timers.h"

namespace medlarcroft::peer_updates {

/// @brief Another host of the region, as registered in the host list.
struct Peer {
  HostName host;
  std::string address;  ///< IP:port on which it receives datagrams.
  FailureDomainName failure_domain;
  double link_mbps = 0;
};

/// @brief Sends updates as datagrams, which may be lost.
class UpdateSender {
 public:
  virtual ~UpdateSender() = default;
  virtual void Send(std::span<const std::string> addresses,
                    const PeerUpdate& update) = 0;
};

/// @brief A domain's relay, as seen by this host, has changed.
struct RelayChange {
  FailureDomainName failure_domain;
  HostName relay;  ///< Empty when no host of the domain is live.
  /// The previous relay stopped sending. Otherwise it left, or a host that
  /// comes before it in the order joined.
  bool was_silent = false;
};

/// @brief Broadcasts updates between the hosts of a region.
///
/// Each host reports tens of requests per second, and every other host must
/// learn of them. If each host sent to every other one, a region of n hosts
/// would carry n * n datagrams, which at a hundred hosts takes more processor
/// time than the requests. So in larger regions hosts report to a relay, one in
/// each failure domain. Relays exchange what their domains reported, and each
/// sends its domain one digest. The number of datagrams grows with n, and only
/// relays send across domains.
///
/// A relay may crash, be paused or be disconnected. Its domain would then
/// receive nothing, and the other domains would consider its hosts dead. Relays
/// send in every period, so a host that receives nothing from its relay
/// switches to the next host in an order that all share. A host relays for
/// whoever reports to it, so no agreement is needed.
class RegionBroadcaster {
 public:
  struct Options {
    HostName host;
    FailureDomainName failure_domain;
    double link_mbps = 0;
    /// Called at each change, for the log. May be empty.
    std::function<void(const RelayChange&)> on_relay_changed;
  };

  RegionBroadcaster(Options options,
                    ports::Timers& timers,
                    UpdateSender& sender);
  ~RegionBroadcaster();
  RegionBroadcaster(const RegionBroadcaster&) = delete;
  RegionBroadcaster& operator=(const RegionBroadcaster&) = delete;

  /// @brief Starts the timer on which this host relays when it is chosen.
  void Start();
  /// @param peers the other hosts of the region.
  void SetPeers(std::vector<Peer> peers);
  [[nodiscard]] std::span<const Peer> Peers() const { return peers_; }
  /// @return whether updates go through relays.
  [[nodiscard]] bool UsesRelays() const;

  /// @brief Broadcasts to the region after a short delay, batched with other
  /// updates.
  void BroadcastPlacement(const PlacedObject& placed);
  void BroadcastLoad(const ReportedLoad& load);
  void BroadcastCrashes(std::span<const request_path::CrashReport> reports);
  void BroadcastLimits(std::span<const request_path::LimitReport> reports);
  /// @brief Broadcasts to the region at once.
  void BroadcastHeartbeat(const membership::Heartbeat& heartbeat);
  /// @brief Sends directly to each host of the region, at once.
  void BroadcastState(const membership::HostState& state);
  /// @brief Sends to the next few hosts of the region in rotation, so that a
  /// host that missed the state or was disconnected receives it again.
  void SendStateToNextPeers(const membership::HostState& state);

  /// @brief Processes a received datagram, and queues it for forwarding if this
  /// host is a relay.
  void OnUpdate(const PeerUpdate& update);

  /// @return whether this host sends digests to its domain now.
  [[nodiscard]] bool IsRelay() const;

 private:
  struct PeerStatus {
    std::size_t peer = 0;  ///< Index in `peers_`.
    /// Last datagram or heartbeat of the host, direct or forwarded.
    std::optional<MonotonicTime> last_seen_at;
    /// Last datagram of a kind that only relays send.
    std::optional<MonotonicTime> relayed_at;
    /// Not chosen as a relay until then, since it stopped sending as one.
    MonotonicTime excluded_until{};
  };
  struct RelayChoice {
    std::uint32_t host = 0;  ///< Hash of its name; 0 when there is none.
    MonotonicTime chosen_at{};
  };

  void ScheduleSend(Duration delay);
  void SendPending();
  /// @brief Sends the reports in `field` to the region, at most
  /// `max_per_datagram` in each datagram.
  template <typename Report>
  void SendReports(std::vector<Report> PeerUpdate::*field,
                   std::span<const Report> reports,
                   std::size_t max_per_datagram);
  /// @brief Sends to the region, through the relay if relays are used.
  void SendToRegion(PeerUpdate update);
  void RunRelay();
  /// @brief Drops the queued updates of other hosts, which are outdated when
  /// this host next relays.
  void ClearRelayQueues();
  void SendDigest(MonotonicTime now);
  void SendExchange(MonotonicTime now);
  /// @return the hash of the host that relays for a domain, or 0 when no host
  /// of the domain is known to be live.
  [[nodiscard]] std::uint32_t RelayOf(const FailureDomainName& domain,
                                      MonotonicTime now);
  [[nodiscard]] std::uint32_t PreferredRelay(const FailureDomainName& domain,
                                             MonotonicTime now) const;
  /// @return whether the chosen relay stopped sending.
  bool ExcludeIfSilent(const RelayChoice& choice, MonotonicTime now);
  [[nodiscard]] HostName NameOf(std::uint32_t host) const;
  [[nodiscard]] std::string AddressOf(std::uint32_t host) const;
  [[nodiscard]] bool IsActingAsRelay(MonotonicTime now) const;

  Options options_;
  std::uint32_t own_hash_;
  ports::Timers& timers_;
  UpdateSender& sender_;
  std::vector<Peer> peers_;
  std::vector<std::string> peer_addresses_;
  /// Index in `peer_addresses_`, modulo its size. Each host starts at a
  /// different index, since hosts that start together would otherwise all send
  /// to the same host at a time.
  std::size_t next_peer_;
  std::vector<std::string> domain_addresses_;
  std::vector<FailureDomainName> other_domains_;
  std::unordered_map<std::uint32_t, PeerStatus> peer_statuses_;
  std::map<FailureDomainName, RelayChoice> relays_;
  /// This host's own updates that wait for the next datagram.
  PeerUpdate pending_;
  std::map<request_path::TargetNumber, std::uint32_t> pending_loads_;
  std::vector<WaitingCrashReport> pending_crashes_;
  std::map<request_path::TargetNumber, request_path::LimitReport>
      pending_limits_;
  bool is_send_scheduled_ = false;
  /// For the hosts of this domain.
  UpdateQueue digest_queue_;
  /// For the relays of other domains.
  UpdateQueue exchange_queue_;
  /// Time of the last report or exchange, with which a host uses this one as
  /// its relay.
  std::optional<MonotonicTime> relay_requested_at_;
  std::map<std::uint32_t, MonotonicTime> exchanged_with_;
  /// Null after destruction, since timers may still run then.
  std::shared_ptr<RegionBroadcaster*> self_ =
      std::make_shared<RegionBroadcaster*>(this);
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_REGION_BROADCASTER_H_
