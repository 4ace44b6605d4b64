#ifndef MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_
#define MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/event/event_loop.h"
#include "adapters/forward/relay_sender.h"
#include "adapters/peer/peer_channel.h"
#include "adapters/process/node_settings.h"
#include "logging_table_listener.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/membership/sharing_hosts.h"
#include "medlarcroft/peer_updates/global_broadcaster.h"
#include "medlarcroft/peer_updates/region_broadcaster.h"
#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/quota/quota_hosts.h"
#include "medlarcroft/replication/peer_readers.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/telemetry/metrics.h"
#include "platform/decode_error.h"
#include "platform/store_client.h"

namespace medlarcroft::node {

/// @brief The other hosts. They are discovered through rows of the system's own
/// table, and exchange datagrams within the region.
class PeerGroup final : public LoggingTableListener,
                        public replication::PeerDirectory {
 public:
  struct Parts {
    adapters::EventLoop& loop;
    /// What answers of other hosts that are not complete yet may take together.
    std::shared_ptr<adapters::HeldMemory> memory;
    platform::StoreClient& store;
    ports::RandomSource& random;
    telemetry::MetricsRegistry& metrics;
    const request_path::DomainRegions& regions;
    /// Called when another host of the region places an object.
    std::function<void(const peer_updates::PlacedObject&)> on_placed;
    /// Called with a target's load that another host of the region received.
    std::function<void(const peer_updates::ReportedLoad&)> on_load;
    /// Called for each crash report from a host of any region.
    std::function<void(const request_path::CrashReport&)> on_crash_report;
    /// Called for each rate limit report from a host of any region.
    std::function<void(const request_path::LimitReport&)> on_limit_report;
    /// Called for each message about quotas.
    std::function<void(quota::HostNumber sender, const quota::TokenRequest&)>
        on_token_request;
    std::function<void(quota::HostNumber sender, const quota::TokenAnswer&)>
        on_token_answer;
    /// Called when the row of a blocked request changes.
    std::function<void(const replication::Row&)> on_blocked_row;
  };

  PeerGroup(const adapters::NodeSettings& settings, const Parts& parts);

  /// @return false when the datagram socket can't be opened.
  bool Start();

  void SetPhase(membership::HostPhase phase);
  /// @brief Sends a placed object to the other hosts of the region.
  void PublishPlacement(const peer_updates::PlacedObject& placed);
  /// @brief Sends a target's load to the other hosts of the region. A single
  /// host receives the load of a target a few times a second at most, and
  /// meanwhile the work of other hosts there changes. With this, it receives
  /// the load as often as all of them together.
  void PublishLoad(const peer_updates::ReportedLoad& load);
  /// @brief Sends the reports to the hosts of all regions.
  void PublishCrashes(std::span<const request_path::CrashReport> reports);
  void PublishLimits(std::span<const request_path::LimitReport> reports);
  /// @brief Counts the hosts that share limits, as they are listed now.
  void UpdateShare();
  [[nodiscard]] const membership::SharingHosts& Sharing() const {
    return sharing_;
  }
  /// @return the hosts among which rate limits are divided.
  [[nodiscard]] request_path::LimitHosts LimitHosts() const;
  /// @return all listed hosts and this one.
  [[nodiscard]] std::vector<quota::QuotaCandidate> QuotaCandidates() const;
  [[nodiscard]] quota::QuotaCandidate OwnCandidate() const;
  [[nodiscard]] quota::HostNumber OwnNumber() const {
    return membership::HashOf(table_.Self().host);
  }
  /// @return whether the list of hosts contains all recent changes.
  [[nodiscard]] bool IsHostListCurrent() const {
    return follower_.HasTable() && !follower_.IsDisconnected();
  }
  /// @brief Sends one datagram to a listed host. Others are ignored.
  void SendTo(quota::HostNumber host, peer_updates::PeerUpdate update);
  /// @return empty when the host is not listed.
  [[nodiscard]] std::string NameOf(quota::HostNumber host) const;
  /// @param domain failure domain of the callers; empty: unknown.
  /// @return addresses of ready hosts of this region, this one included.
  [[nodiscard]] std::vector<std::string> AddressesForCallers(
      const FailureDomainName& domain) const;
  /// @return the number of hosts that have a row, this one included.
  [[nodiscard]] std::uint32_t KnownHosts() const;
  /// @return the hosts of the region that can send for this one; those of this
  /// host's own region are alive. With an empty name, all of other regions.
  [[nodiscard]] std::vector<adapters::RelayHelper> Helpers(
      const RegionName& region) const;
  [[nodiscard]] replication::PeerReaders& Readers() { return readers_; }
  /// @return the number of hosts of the region that have a row, this one
  /// included.
  [[nodiscard]] std::size_t HostsInRegion() const override;
  /// @return whether one host reads each table for the whole region, once its
  /// hosts have discovered each other.
  [[nodiscard]] bool IsLargeRegion() const;
  /// @return whether the hosts that may read tables for this one are known.
  [[nodiscard]] bool HasFoundReaders() const;
  [[nodiscard]] replication::TableFollower& Follower() { return follower_; }

  [[nodiscard]] std::vector<replication::ReaderCandidate> LiveHosts()
      const override;
  [[nodiscard]] std::vector<replication::ReaderCandidate> HostsInOtherRegions()
      const override;

  void OnTable(std::span<const replication::Row> rows) override;
  void OnRows(std::span<const replication::Row> rows) override;

 private:
  // A row without a live host is removed after this time. Until then the host
  // counts among those that global limits are divided among.
  static constexpr Duration kHostLostTimeout = std::chrono::seconds(40);

  struct Entry {
    ports::ListedHost host;
    double link_mbps = 0;
    std::uint64_t row_version = 0;
    MonotonicTime updated_at;
    /// Whether the state of this host was sent to it.
    bool is_announced_to = false;
  };

  void Apply(const replication::Row& row);
  /// @brief Keeps what is known of another host; this host's own row counts as
  /// missing and is written again.
  void OnUnreadableRow(const replication::Row& row,
                       const platform::DecodeError& fault);
  void ApplyEntries();
  /// @brief Writes this host's row unless the stored one is current.
  void EnsureOwnRow();
  void WriteOwnRow();
  /// @brief Sends the state of this host to the hosts of the region that do not
  /// have it yet.
  void AnnounceToNewPeers();
  void SendHeartbeats();
  void OnMessage(const peer_updates::PeerUpdate& message);
  void OnState(const membership::HostState& state);
  /// @return whether the host belongs to this region, is alive and is not
  /// leaving.
  [[nodiscard]] bool IsLive(const membership::HostStateView& host) const;
  void RemoveLostHosts();
  [[nodiscard]] std::vector<peer_updates::RemoteHost> RemoteHosts() const;
  [[nodiscard]] replication::ReaderCandidate MakeReaderCandidate(
      const membership::HostState& state,
      const std::string& address) const;
  [[nodiscard]] bool IsInOwnRegion(const FailureDomainName& domain) const;

  const adapters::NodeSettings& settings_;
  Parts parts_;
  membership::MembershipTable table_;
  adapters::EventHttpClient caller_;
  std::unique_ptr<adapters::PeerChannel> channel_;
  replication::PeerReaders readers_;
  replication::TableFollower follower_;
  std::optional<peer_updates::RegionBroadcaster> region_broadcaster_;
  std::optional<peer_updates::GlobalBroadcaster> global_broadcaster_;
  std::map<HostName, Entry> entries_;
  std::unordered_map<quota::HostNumber, HostName> numbers_;
  std::uint32_t heartbeats_sent_ = 0;
  bool is_row_write_pending_ = false;
  std::optional<MonotonicTime> row_written_at_;
  membership::SharingHosts sharing_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_
