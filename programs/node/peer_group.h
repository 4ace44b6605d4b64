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
#include "logged_table.h"
#include "medlarcroft/membership/membership_table.h"
#include "medlarcroft/news/global_news.h"
#include "medlarcroft/news/region_news.h"
#include "medlarcroft/ports/host_list.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/target_book.h"
#include "medlarcroft/rows/peer_readers.h"
#include "platform/decode_fault.h"
#include "platform/store_client.h"

namespace medlarcroft::node {

/// @brief The other hosts: found through rows of the system's own table, heard
/// through datagrams within the region.
class PeerGroup final : public LoggedTable, public rows::PeerDirectory {
 public:
  struct Parts {
    adapters::EventLoop& loop;
    platform::StoreClient& store;
    ports::RandomSource& random;
    const request_path::DomainRegions& regions;
    /// Told what other hosts of the region placed.
    std::function<void(const news::PlacedObject&)> on_placed;
    /// Told what other hosts of the region heard of targets' load.
    std::function<void(const news::ToldLoad&)> on_load;
    /// Called for each crash report from a host of any region.
    std::function<void(const request_path::CrashReport&)> on_crash_report;
    /// Called for each rate limit report from a host of any region.
    std::function<void(const request_path::LimitReport&)> on_limit_report;
    /// Called when the row of a blocked request changes.
    std::function<void(const rows::Row&)> on_blocked_row;
  };

  PeerGroup(const adapters::NodeSettings& settings, const Parts& parts);

  /// @return false when the datagram socket can't be opened.
  bool Start();

  void SetPhase(membership::HostPhase phase);
  /// @brief Tells the other hosts of the region what was placed.
  void TellPlaced(const news::PlacedObject& placed);
  /// @brief Tells the other hosts of the region a target's load. Each host
  /// hears from a target a few times a second at most, and the others' work
  /// there changes meanwhile: with this it hears as often as all of them
  /// together.
  void TellLoad(const news::ToldLoad& load);
  /// @brief Sends the reports to the hosts of all regions.
  void TellCrashes(std::span<const request_path::CrashReport> reports);
  void TellLimits(std::span<const request_path::LimitReport> reports);
  /// @return the hosts among which rate limits are divided.
  [[nodiscard]] request_path::LimitHosts LimitHosts() const;
  /// @param domain of the callers; empty: unknown.
  /// @return addresses of ready hosts of this region, this one included.
  [[nodiscard]] std::vector<std::string> CallableAddresses(
      const FailureDomainName& domain) const;
  /// @return all hosts that have a row, this one included.
  [[nodiscard]] std::uint32_t KnownHosts() const;
  [[nodiscard]] rows::PeerReaders& Readers() { return readers_; }
  /// @return how many hosts of the region have a row, this one included.
  [[nodiscard]] std::size_t HostsInRegion() const override;
  /// @return whether one host reads each table for all of the region, as soon
  /// as they have found each other.
  [[nodiscard]] bool IsLargeRegion() const;
  /// @return whether the hosts that may read for this one are known.
  [[nodiscard]] bool HasFoundReaders() const;
  [[nodiscard]] rows::TableFollower& Watch() { return watch_; }

  [[nodiscard]] std::vector<rows::ReaderCandidate> LiveHosts() const override;
  [[nodiscard]] std::vector<rows::ReaderCandidate> HostsElsewhere()
      const override;

  void OnTable(std::span<const rows::Row> rows) override;
  void OnRows(std::span<const rows::Row> rows) override;

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

  void Apply(const rows::Row& row);
  /// @brief What was known of the host holds; its own row it writes anew.
  void OnUnreadable(const rows::Row& row, const platform::DecodeFault& fault);
  void PublishList();
  /// @brief Writes this host's row unless it stands there as it would be.
  void KeepOwnRow();
  void WriteOwnRow();
  /// @brief Tells what this host is to those that have not heard it.
  void Introduce();
  void SendBeats();
  void OnNews(const news::PeerNews& news);
  void OnState(const membership::HostState& state);
  /// @return whether that host of the region is alive and does not leave.
  [[nodiscard]] bool IsLive(const membership::HeardHost& host) const;
  void RemoveLostHosts();
  [[nodiscard]] std::vector<news::RemoteHost> RemoteHosts() const;
  [[nodiscard]] rows::ReaderCandidate CandidateOf(
      const membership::HostState& state,
      const std::string& address) const;
  [[nodiscard]] bool IsInOwnRegion(const FailureDomainName& domain) const;

  const adapters::NodeSettings& settings_;
  Parts parts_;
  membership::MembershipTable table_;
  adapters::HttpCaller caller_;
  std::unique_ptr<adapters::PeerChannel> channel_;
  rows::PeerReaders readers_;
  rows::TableFollower watch_;
  std::optional<news::RegionNews> news_;
  std::optional<news::GlobalNews> global_news_;
  std::map<HostName, Entry> entries_;
  std::uint32_t beats_ = 0;
  bool is_writing_ = false;
  std::optional<MonotonicTime> written_at_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_PEER_GROUP_H_
