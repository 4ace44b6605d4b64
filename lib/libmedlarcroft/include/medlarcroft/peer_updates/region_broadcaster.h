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

/// @brief Another host of the region, as the list of hosts shows it.
struct Peer {
  HostName host;
  std::string address;  ///< IP:port of its datagrams.
  FailureDomainName failure_domain;
  double link_mbps = 0;
};

/// @brief Sends datagrams; one may be lost.
class UpdateSender {
 public:
  virtual ~UpdateSender() = default;
  virtual void Send(std::span<const std::string> addresses,
                    const PeerUpdate& news) = 0;
};

/// @brief Another host counts as a domain's relay from now on.
struct RelayChange {
  FailureDomainName failure_domain;
  HostName relay;  ///< Empty: none is heard.
  /// The one before was silent; otherwise it left, or one came that is first in
  /// the order.
  bool was_silent = false;
};

/// @brief Carries what hosts of a region tell each other.
///
/// Load: each host tells of tens of requests a second, and each other one is to
/// hear of them. Told directly, a region of n hosts carries n * n datagrams,
/// which at a hundred hosts takes more processor time than the requests. So in
/// larger regions hosts report to a relay, one in each failure domain; relays
/// exchange what their domains reported, and each tells its domain one digest.
/// Datagrams grow with n, and cross domains only between relays.
///
/// Failure: a relay dies, is paused or cut off. Symptom: its domain hears
/// nothing, and its hosts look dead to the others. Relays are never silent, so
/// whoever counts on one that is takes the next in an order that all share; a
/// host relays for whoever reports to it, so that nothing has to be agreed.
class RegionBroadcaster {
 public:
  struct Options {
    HostName host;
    FailureDomainName failure_domain;
    double link_mbps = 0;
    /// Told of each change, for the log; none: nobody is.
    std::function<void(const RelayChange&)> on_relay_changed;
  };

  RegionBroadcaster(Options options,
                    ports::Timers& timers,
                    UpdateSender& sender);
  ~RegionBroadcaster();
  RegionBroadcaster(const RegionBroadcaster&) = delete;
  RegionBroadcaster& operator=(const RegionBroadcaster&) = delete;

  /// @brief Starts to relay when it is this host's turn.
  void Start();
  /// @param peers the region's other hosts.
  void SetPeers(std::vector<Peer> peers);
  [[nodiscard]] std::span<const Peer> Peers() const { return peers_; }
  /// @return whether news goes by relays.
  [[nodiscard]] bool UsesRelays() const;

  /// @brief Tells the region, soon and together with more.
  void TellPlaced(const PlacedObject& placed);
  void TellLoad(const ReportedLoad& load);
  void TellCrashes(std::span<const request_path::CrashReport> reports);
  void TellLimits(std::span<const request_path::LimitReport> reports);
  /// @brief Tells the region at once.
  void BroadcastHeartbeat(const membership::Heartbeat& heartbeat);
  /// @brief Tells each host of the region itself, at once.
  void BroadcastState(const membership::HostState& state);
  /// @brief Tells the next few hosts of the region, so that each hears it in
  /// its turn: those that missed it, or were cut off meanwhile.
  void SendStateToNextPeers(const membership::HostState& state);

  /// @brief Takes in a datagram, to tell it on where that is this host's part.
  void OnNews(const PeerUpdate& news);

  /// @return whether this host tells its domain digests now.
  [[nodiscard]] bool IsRelay() const;

 private:
  struct Source {
    std::size_t peer = 0;  ///< Place in `peers_`.
    /// Any sign of life.
    std::optional<MonotonicTime> heard_at;
    /// What only a relay sends.
    std::optional<MonotonicTime> relayed_at;
    /// As a relay it was silent: not counted on until then.
    MonotonicTime passed_over_until{};
  };
  struct Choice {
    std::uint32_t host = 0;  ///< Its hash; 0: none.
    MonotonicTime chosen_at{};
  };

  void SendSoon(Duration delay);
  void SendOwn();
  /// @brief Sends the reports in `field` to the region, at most
  /// `most_per_datagram` in each datagram.
  template <typename Report>
  void SendReports(std::vector<Report> PeerUpdate::*field,
                   std::span<const Report> reports,
                   std::size_t most_per_datagram);
  /// @brief Sends to the region, through the relay if there is one.
  void SendToRegion(PeerUpdate news);
  void Relay();
  /// @brief Drops what other hosts told: by now it is old.
  void DropGathered();
  void SendDigest(MonotonicTime now);
  void SendExchange(MonotonicTime now);
  /// @return the hash of the host that relays for a domain; 0: none is heard.
  [[nodiscard]] std::uint32_t RelayOf(const FailureDomainName& domain,
                                      MonotonicTime now);
  [[nodiscard]] std::uint32_t FirstInOrder(const FailureDomainName& domain,
                                           MonotonicTime now) const;
  /// @return whether it was silent.
  bool PassOverIfSilent(const Choice& choice, MonotonicTime now);
  [[nodiscard]] HostName NameOf(std::uint32_t host) const;
  [[nodiscard]] std::string AddressOf(std::uint32_t host) const;
  [[nodiscard]] bool IsActing(MonotonicTime now) const;

  Options options_;
  std::uint32_t own_hash_;
  ports::Timers& timers_;
  UpdateSender& sender_;
  std::vector<Peer> peers_;
  std::vector<std::string> peer_addresses_;
  /// Place in `peer_addresses_`, modulo its size. Hosts that start together
  /// begin at places of their own: else all would tell the same one at a time.
  std::size_t next_told_;
  std::vector<std::string> domain_addresses_;
  std::vector<FailureDomainName> other_domains_;
  std::unordered_map<std::uint32_t, Source> sources_;
  std::map<FailureDomainName, Choice> relays_;
  /// Own news that waits.
  PeerUpdate pending_;
  std::map<request_path::TargetNumber, std::uint32_t> pending_loads_;
  std::map<request_path::TargetNumber, request_path::LimitReport>
      pending_limits_;
  bool is_sending_soon_ = false;
  /// For the hosts of this domain.
  UpdateQueue digest_;
  /// For other domains.
  UpdateQueue exchange_;
  std::optional<MonotonicTime> asked_at_;  ///< To relay, by a report.
  std::map<std::uint32_t, MonotonicTime> exchanged_with_;
  /// Null once this is gone: timers may still run then.
  std::shared_ptr<RegionBroadcaster*> self_ =
      std::make_shared<RegionBroadcaster*>(this);
};

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_REGION_BROADCASTER_H_
