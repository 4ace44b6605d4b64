#ifndef MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_WORLD_H_
#define MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/seeded_random.h"
#include "fakes/virtual_time.h"
#include "medlarcroft/replication/peer_readers.h"
#include "medlarcroft/replication/table_follower.h"
#include "model_store.h"

/// @file
/// @brief Hosts of one region that follow a table in virtual time and are
/// paused, killed and restarted. Each seed gives one schedule.

namespace medlarcroft::replication {

using fakes::HostTimers;

/// @brief What one process of a host received: each row by the version of its
/// last change; a removed row is known by the version up to which updates were
/// received.
class ReceivedRows final : public TableListener {
 public:
  void OnTable(std::span<const Row> rows) override {
    std::map<std::string, std::uint64_t> listed;
    for (const Row& row : rows) {
      listed[row.key] = row.version;
    }
    for (const auto& [key, version] : versions) {
      if (listed.contains(key) && listed[key] < version) {
        went_backwards = true;
      }
    }
    versions = std::move(listed);
  }
  void OnRows(std::span<const Row> rows) override {
    for (const Row& row : rows) {
      const auto known = versions.find(row.key);
      if (known != versions.end() && row.version < known->second) {
        went_backwards = true;
      }
      if (row.is_removed) {
        versions.erase(row.key);
      } else {
        versions[row.key] = row.version;
      }
    }
  }
  void OnCallFailed(const FailedCall&) override {}
  void OnStoreRecovered(Duration) override {}
  void OnReaderLost(RowFailure, std::uint64_t) override { ++lost_readers; }

  std::map<std::string, std::uint64_t> versions;
  bool went_backwards = false;
  int lost_readers = 0;
};

/// @brief What one process of a host received, and who else is told of it.
class ForwardingListener final : public TableListener {
 public:
  ForwardingListener(TableListener& first,
                     std::unique_ptr<TableListener> second)
      : first_(first), second_(std::move(second)) {}

  void OnTable(std::span<const Row> rows) override {
    first_.OnTable(rows);
    second_->OnTable(rows);
  }
  void OnRows(std::span<const Row> rows) override {
    first_.OnRows(rows);
    second_->OnRows(rows);
  }
  void OnCallFailed(const FailedCall& call) override {
    second_->OnCallFailed(call);
  }
  void OnStoreRecovered(Duration outage_time) override {
    second_->OnStoreRecovered(outage_time);
  }
  void OnExpiryKnown(std::optional<MonotonicTime> until) override {
    second_->OnExpiryKnown(until);
  }
  void OnReaderLost(RowFailure failure, std::uint64_t known_version) override {
    first_.OnReaderLost(failure, known_version);
    second_->OnReaderLost(failure, known_version);
  }

 private:
  TableListener& first_;
  std::unique_ptr<TableListener> second_;
};

/// @brief The hosts of one region.
class Region {
 public:
  /// @return what a host's process does with the rows that it receives.
  using MakeListener =
      std::function<std::unique_ptr<TableListener>(int host,
                                                   ports::Timers& timers)>;

  Region(VirtualTime& time,
         ModelNetwork& network,
         int hosts,
         const FollowTiming& timing,
         std::uint64_t seed,
         int other_readers_asked = 0,
         MakeListener make_listener = {},
         std::optional<RowExpiry> expiry = std::nullopt)
      : time_(time),
        network_(network),
        pace_(timing),
        other_readers_asked_(other_readers_asked),
        make_listener_(std::move(make_listener)),
        expiry_(expiry),
        random_(seed) {
    hosts_.resize(static_cast<std::size_t>(hosts));
    for (int host = 0; host < hosts; ++host) {
      Start(host);
    }
  }

  static HostName NameOf(int host) {
    return HostName("h" + std::to_string(host));
  }
  [[nodiscard]] int Size() const { return static_cast<int>(hosts_.size()); }
  [[nodiscard]] bool IsAlive(int host) const { return At(host) != nullptr; }
  [[nodiscard]] const TableFollower& FollowerOf(int host) const {
    return *At(host)->follower;
  }
  [[nodiscard]] const ReceivedRows& ReceivedBy(int host) const {
    return At(host)->received;
  }

  /// @brief Sets which live hosts a host takes for dead.
  void SetHidden(std::function<bool(int host, int other)> is_hidden) {
    is_hidden_ = std::move(is_hidden);
  }

  void Kill(int host) {
    time_.Kill(host);
    hosts_[static_cast<std::size_t>(host)].reset();
  }
  void Start(int host) {
    auto process = std::make_unique<HostProcess>(*this, host);
    process->teller = std::make_unique<TableServer>(
        process->timers, [follower = &process->follower](std::string_view) {
          return *follower ? (*follower)->ServeFollowers() : FreshTable{};
        });
    if (make_listener_) {
      process->forwarding = std::make_unique<ForwardingListener>(
          process->received, make_listener_(host, process->timers));
    }
    TableListener& listener =
        process->forwarding ? static_cast<TableListener&>(*process->forwarding)
                            : process->received;
    process->follower = std::make_unique<TableFollower>(
        TableFollower::Parts{.timers = process->timers,
                             .store = process->source,
                             .random = random_,
                             .listener = listener},
        OptionsOf(host));
    process->follower->Mirror().OnChange(
        [teller = process->teller.get()] { teller->OnChange("t"); });
    HostProcess& started = *process;
    hosts_[static_cast<std::size_t>(host)] = std::move(process);
    started.follower->Start();
  }

 private:
  struct HostProcess final : public PeerDirectory {
    HostProcess(Region& region, int host)
        : region(region),
          host(host),
          timers(region.time_, host),
          source(region.network_, host),
          readers({.host = NameOf(host),
                   .failure_domain = kDomain,
                   .other_readers_asked = region.other_readers_asked_},
                  {.directory = *this,
                   .ask_host =
                       [&region, host](const std::string& address,
                                       const RowsRequest& question,
                                       RowsCallback callback) {
                         region.Ask(host, std::stoi(address), question,
                                    std::move(callback));
                       },
                   .timers = timers,
                   .random = region.random_,
                   .regions = region.regions_}) {}

    [[nodiscard]] std::vector<ReaderCandidate> LiveHosts() const override {
      return region.LivePeersOf(host);
    }
    [[nodiscard]] std::vector<ReaderCandidate> HostsInOtherRegions()
        const override {
      return {};
    }
    [[nodiscard]] std::size_t HostsInRegion() const override {
      return region.hosts_.size();
    }

    Region& region;
    int host;
    HostTimers timers;
    HostRowSource source;
    PeerReaders readers;
    ReceivedRows received;
    std::unique_ptr<ForwardingListener> forwarding;
    std::unique_ptr<TableFollower> follower;
    std::unique_ptr<TableServer> teller;
    std::optional<MonotonicTime> paused_since;
  };

  inline static const FailureDomainName kDomain{"z"};

  [[nodiscard]] HostProcess& ProcessOf(int host) {
    return *hosts_[static_cast<std::size_t>(host)];
  }
  [[nodiscard]] std::vector<ReaderCandidate> LivePeersOf(int host) {
    std::vector<ReaderCandidate> live;
    for (int other = 0; other < Size(); ++other) {
      if (other == host ||
          (IsConsideredAlive(other) && !is_hidden_(host, other))) {
        live.push_back({.host = NameOf(other),
                        .address = std::to_string(other),
                        .failure_domain = kDomain,
                        .link_mbps = 100});
      }
    }
    return live;
  }

  // Same as in medlar-node, see programs/node/peer_group.cc.
  static constexpr Duration kLivenessTimeout = milliseconds(2600);

  [[nodiscard]] const HostProcess* At(int host) const {
    return hosts_[static_cast<std::size_t>(host)].get();
  }

  TableFollower::Options OptionsOf(int host) {
    return {
        .table = "t",
        .timing = pace_,
        .expiry = expiry_,
        .ask_peer =
            [this, host](const RowsRequest& question, RowsCallback callback) {
              ProcessOf(host).readers.AskSomeReader(question,
                                                    std::move(callback));
            },
        .ask_reader =
            [this, host](const RowsRequest& question, RowsCallback callback) {
              return ProcessOf(host).readers.AskReader(question,
                                                       std::move(callback));
            }};
  }

  /// A host counts as alive until it has been paused, or dead, for the limit.
  bool IsConsideredAlive(int host) {
    if (!IsAlive(host)) {
      return false;
    }
    HostProcess& process = *hosts_[static_cast<std::size_t>(host)];
    if (!time_.IsPaused(host)) {
      process.paused_since.reset();
      return true;
    }
    if (!process.paused_since) {
      process.paused_since = time_.Now();
    }
    return time_.Now() - *process.paused_since < kLivenessTimeout;
  }

  void Ask(int from,
           int to,
           const RowsRequest& question,
           RowsCallback callback) {
    network_.QueryPeer(
        from, to, question,
        [this, to](const RowsRequest& asked, RowsCallback answer) {
          if (IsAlive(to)) {
            At(to)->teller->Ask(asked, std::move(answer));
          }
        },
        std::move(callback));
  }

  VirtualTime& time_;
  ModelNetwork& network_;
  FollowTiming pace_;
  int other_readers_asked_;
  MakeListener make_listener_;
  std::optional<RowExpiry> expiry_;
  const std::map<FailureDomainName, RegionName> regions_{
      {kDomain, RegionName("r")}};
  fakes::SeededRandom random_;
  std::vector<std::unique_ptr<HostProcess>> hosts_;
  std::function<bool(int, int)> is_hidden_ = [](int, int) { return false; };
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_WORLD_H_
