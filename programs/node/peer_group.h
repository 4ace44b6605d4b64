#ifndef MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_
#define MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "adapters/event/event_loop.h"
#include "adapters/peer/peer_channel.h"
#include "adapters/process/node_settings.h"
#include "logging_table_listener.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/peer_updates/global_broadcaster.h"
#include "medlarcroft/peer_updates/region_broadcaster.h"
#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/replication/peer_readers.h"
#include "medlarcroft/request_path/target_directory.h"
#include "platform/decode_error.h"
#include "platform/store_client.h"

namespace medlarcroft::node {

/// @brief The other hosts: found through rows of the system's own table, heard
/// through datagrams within the region.
class PeerGroup final : public LoggingTableListener,
                        public replication::PeerDirectory {
 public:
  struct Parts {
    adapters::EventLoop& loop;
    platform::StoreClient& store;
    ports::RandomSource& random;
    const request_path::DomainRegions& regions;
    /// Told what other hosts of the region placed.
    std::function<void(const peer_updates::PlacedObject&)> on_placed;
    /// Told what other hosts of the region heard of targets' load.
    std::function<void(const peer_updates::ReportedLoad&)> on_load;
    /// Called for each crash report from a host of any region.
    std::function<void(const request_path::CrashReport&)> on_crash_report;
    /// Called for each rate limit report from a host of any region.
    std::function<void(const request_path::LimitReport&)> on_limit_report;
    /// Called when the row of a blocked request changes.
    std::function<void(const replication::Row&)> on_blocked_row;
  };

  PeerGroup(const adapters::NodeSettings& settings, const Parts& parts);

  /// @return false when the datagram socket can't be opened.
  bool Start();

  void SetPhase(membership::HostPhase phase);
  /// @brief Tells the other hosts of the region what was placed.
  void BroadcastPlacement(const peer_updates::PlacedObject& placed);
  /// @brief Tells the other hosts of the region a target's load. Each host
  /// hears from a target a few times a second at most, and the others' work
  /// there changes meanwhile: with this it hears as often as all of them
  /// together.
  void BroadcastLoad(const peer_updates::ReportedLoad& load);
  /// @brief Sends the reports to the hosts of all regions.
  void BroadcastCrashes(std::span<const request_path::CrashReport> reports);
  void BroadcastLimits(std::span<const request_path::LimitReport> reports);
  /// @return the hosts among which rate limits are divided.
  [[nodiscard]] request_path::LimitHosts LimitHosts() const;
  /// @param domain of the callers; empty: unknown.
  /// @return addresses of ready hosts of this region, this one included.
  [[nodiscard]] std::vector<std::string> CallableAddresses(
      const FailureDomainName& domain) const;
  /// @return all hosts that have a row, this one included.
  [[nodiscard]] std::uint32_t KnownHosts() const;
  [[nodiscard]] replication::PeerReaders& Readers() { return readers_; }
  /// @return how many hosts of the region have a row, this one included.
  [[nodiscard]] std::size_t HostsInRegion() const override;
  /// @return whether one host reads each table for all of the region, as soon
  /// as they have found each other.
  [[nodiscard]] bool IsLargeRegion() const;
  /// @return whether the hosts that may read for this one are known.
  [[nodiscard]] bool HasFoundReaders() const;
  [[nodiscard]] replication::TableFollower& Watch() { return watch_; }

  [[nodiscard]] std::vector<replication::ReaderCandidate> LiveHosts()
      const override;
  [[nodiscard]] std::vector<replication::ReaderCandidate> HostsInOtherRegions()
      const override;

  void OnTable(std::span<const replication::Row> rows) override;
  void OnRows(std::span<const replication::Row> rows) override;

 private:
  // A row without a living host is taken away after this; until then the host
  // counts among those that share what is bounded for all.
  static constexpr Duration kLostAfter = std::chrono::seconds(40);

  struct Entry {
    ports::ListedHost host;
    double link_mbps = 0;
    std::uint64_t row_version = 0;
    MonotonicTime seen_at;
    /// This host told it what it is.
    bool is_introduced = false;
  };

  void Apply(const replication::Row& row);
  /// @brief What was known of the host holds; its own row it writes anew.
  void OnUnreadable(const replication::Row& row,
                    const platform::DecodeError& fault);
  void PublishList();
  /// @brief Writes this host's row unless it stands there as it would be.
  void KeepOwnRow();
  void WriteOwnRow();
  /// @brief Tells what this host is to those that have not heard it.
  void Introduce();
  void SendBeats();
  void OnUpdate(const peer_updates::PeerUpdate& news);
  void OnState(const membership::HostState& state);
  /// @return whether that host of the region is alive and does not leave.
  [[nodiscard]] bool IsLive(const membership::HostStateView& host) const;
  void RemoveLostHosts();
  [[nodiscard]] std::vector<peer_updates::RemoteHost> RemoteHosts() const;
  [[nodiscard]] replication::ReaderCandidate CandidateOf(
      const membership::HostState& state,
      const std::string& address) const;
  [[nodiscard]] bool IsInOwnRegion(const FailureDomainName& domain) const;

  const adapters::NodeSettings& settings_;
  Parts parts_;
  membership::MembershipTable table_;
  adapters::EventHttpClient caller_;
  std::unique_ptr<adapters::PeerChannel> channel_;
  replication::PeerReaders readers_;
  replication::TableFollower watch_;
  std::optional<peer_updates::RegionBroadcaster> news_;
  std::optional<peer_updates::GlobalBroadcaster> global_news_;
  std::map<HostName, Entry> entries_;
  std::uint32_t beats_ = 0;
  bool is_writing_ = false;
  std::optional<MonotonicTime> written_at_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_
