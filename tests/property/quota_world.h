#ifndef MEDLARCROFT_TESTS_PROPERTY_QUOTA_WORLD_H_
#define MEDLARCROFT_TESTS_PROPERTY_QUOTA_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "fakes/virtual_time.h"
#include "medlarcroft/quota/quota_enforcer.h"

namespace medlarcroft::quota {

/// @brief Faults of the hosts and of the network between them.
struct QuotaFaults {
  double loss = 0;    ///< Fraction of messages that are lost.
  double repeat = 0;  ///< Fraction of messages that arrive twice.
  double late = 0;    ///< Fraction of messages that arrive up to 3 s later.
  /// Per second: part of the hosts is disconnected from the others.
  double cuts = 0;
  double joins = 0;        ///< Hosts that are added per second.
  double kills = 0;        ///< Per second and host.
  double freezes = 0;      ///< Per second and host.
  double clock_error = 0;  ///< Largest relative error of a clock's rate.
};

/// @brief The requests of one account, as all hosts together admitted them.
struct AccountRecord {
  routing::ClientAccount account;
  double demand = 0;  ///< Requests per second.
  /// Number of hosts that the account's callers use.
  std::size_t hosts_used = 0;
  std::vector<MonotonicTime> admitted;
  std::uint64_t refused = 0;
  std::uint64_t refused_unknown = 0;

  /// @return the most requests admitted in any window.
  [[nodiscard]] std::size_t MostIn(Duration window) const;
  [[nodiscard]] double RefusedShare() const {
    const double all = static_cast<double>(admitted.size() + refused);
    return all == 0 ? 0 : static_cast<double>(refused) / all;
  }
};

/// @brief Hosts in three regions with two failure domains each that enforce
/// quotas, in virtual time.
class QuotaWorld {
 public:
  struct Options {
    std::size_t hosts = 8;
    std::uint64_t seed = 1;
    QuotaGroup group = QuotaGroup::kRegion;
    QuotaFaults faults;
  };

  explicit QuotaWorld(const Options& options);
  ~QuotaWorld();

  void AddAccount(const routing::ClientAccount& account,
                  double demand,
                  std::size_t hosts_used);
  /// @brief Replaces the quota of an account on all hosts, a bit later on each.
  void SetQuota(std::size_t account, const routing::Quota& quota);
  void RunFor(Duration duration);
  /// @brief Stops the faults that are drawn at random.
  void EndFaults() { options_.faults = {}; }
  /// @brief Disconnects the first `hosts` hosts from all others.
  void Cut(std::size_t hosts, Duration duration);
  void Kill(std::size_t host, Duration down);
  void Freeze(std::size_t host, Duration duration);
  /// @brief Drops what was counted so far.
  void ClearRecords();

  [[nodiscard]] const std::vector<AccountRecord>& Records() const {
    return records_;
  }
  [[nodiscard]] std::uint64_t MessagesSent() const { return messages_; }
  [[nodiscard]] std::uint64_t BytesSent() const { return bytes_; }
  [[nodiscard]] std::size_t HostCount() const { return hosts_.size(); }

 private:
  struct Host;

  void AddHost(bool is_joining);
  void Start(Host& host);
  void Tick(Host& host);
  void UpdateView(Host& host);
  void Arrive(std::size_t account);
  void ScheduleArrival(std::size_t account);
  void DrawFaults();
  void Deliver(Host& from,
               HostNumber to,
               const std::function<void(Host&)>& apply);
  [[nodiscard]] bool AreConnected(const Host& left, const Host& right) const;
  [[nodiscard]] Duration Latency(const Host& from, const Host& to);
  [[nodiscard]] std::vector<std::shared_ptr<const routing::ClientAccount>>
  Accounts() const;

  Options options_;
  fakes::SeededRandom random_;
  fakes::VirtualTime time_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<AccountRecord> records_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_TESTS_PROPERTY_QUOTA_WORLD_H_
