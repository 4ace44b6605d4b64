#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "medlarcroft/request_path/target_directory.h"
#include "routing_table_listeners.h"
#include "table_following_world.h"

/// @file
/// @brief What hosts send to targets whose entries are removed, while hosts are
/// cut off from the store and from each other.

namespace medlarcroft::replication {
namespace {

using request_path::TargetDirectory;

constexpr const char* kEntry =
    R"({"address":"10.0.0.9:80","info":{"service":"desk","zone":"z","slots":3},)"
    R"("status":{"state":"in_service","sequence":4,"cold_remaining":"0ms"}})";

class IgnoringObserver final : public request_path::TargetDirectoryObserver {
  void OnTargetChange(request_path::TargetChange,
                      const request_path::TargetRecord&) override {}
};

/// @brief Bounds of one deployment.
struct RemovalCase {
  const char* name = "";
  int hosts = 2;
  /// From the removal of an entry to the last request to its target.
  Duration target_left_within{0};
  /// How long a host and the store must have been without a fault before that
  /// bound holds.
  Duration in_touch_after{0};
};

/// @brief Hosts whose targets are removed while some hosts are cut off. The
/// store itself has no fault.
class RemovalSchedule {
 public:
  RemovalSchedule(std::uint64_t seed, const RemovalCase& bounds)
      : bounds_(bounds),
        random_(seed),
        network_(time_, store_, seed + 1),
        directories_(static_cast<std::size_t>(bounds.hosts)),
        faulty_until_(static_cast<std::size_t>(bounds.hosts)) {
    for (int target = 0; target < kTargets; ++target) {
      store_.Put(NameOf(target));
    }
    region_ = std::make_unique<Region>(
        time_, network_, bounds.hosts, TimingOf(bounds), seed + 2,
        OtherReadersAsked(bounds.target_left_within),
        [this](int host, ports::Timers& timers) {
          return MakeListener(host, timers);
        },
        RowExpiryFor(kTargetHeartbeat, bounds.in_touch_after - kTickPeriod));
    PlanCuts();
    PlanRemovals();
  }

  /// @return the longest time from a removal to a request that a host in touch
  /// sends to that target.
  [[nodiscard]] Duration LongestUse() {
    for (Duration passed{0}; passed < kLength; passed += kStep) {
      time_.RunUntil(start_ + passed);
      Observe();
    }
    return longest_use_;
  }
  [[nodiscard]] std::string Description() const { return description_.str(); }

 private:
  static constexpr int kTargets = 30;
  static constexpr Duration kLength = seconds(30);
  static constexpr Duration kStep = milliseconds(20);
  // As in medlar-node, which lets the directory forget targets that often.
  static constexpr Duration kTargetHeartbeat = milliseconds(1500);
  static constexpr Duration kTickPeriod = milliseconds(250);

  static std::string NameOf(int target) { return "t" + std::to_string(target); }
  static FollowTiming TimingOf(const RemovalCase& bounds) {
    return FollowTimingFor(static_cast<std::size_t>(bounds.hosts),
                           {.in_touch_after = bounds.in_touch_after,
                            .changes_known_within = bounds.target_left_within,
                            .target_heartbeat = kTargetHeartbeat});
  }

  std::unique_ptr<TableListener> MakeListener(int host, ports::Timers& timers) {
    auto& directory = directories_[static_cast<std::size_t>(host)];
    directory = std::make_unique<TargetDirectory>(
        request_path::DomainRegions{{FailureDomainName("z"), RegionName("r")}},
        observer_);
    return std::make_unique<node::TargetTableListener>(timers, *directory,
                                                       metrics_);
  }

  Duration DrawDuration(double least, double most) {
    return FromSeconds(least + (most - least) * random_.NextUnit());
  }
  void Plan(MonotonicTime at, std::function<void()> task) {
    time_.At(VirtualTime::kNoHost, at, std::move(task));
  }

  void PlanCuts() {
    constexpr std::array<StoreAccess, 3> kAccesses = {StoreAccess::kRefused,
                                                      StoreAccess::kPartitioned,
                                                      StoreAccess::kIsolated};
    const std::uint64_t cuts = 1 + random_.NextBelow(4);
    for (std::uint64_t cut = 0; cut < cuts; ++cut) {
      const int host = static_cast<int>(
          random_.NextBelow(static_cast<std::uint64_t>(bounds_.hosts)));
      const MonotonicTime at = start_ + DrawDuration(3, 16);
      const Duration time = DrawDuration(0.2, 8);
      const StoreAccess access = kAccesses.at(random_.NextBelow(3));
      description_ << "host " << host << " cut (" << static_cast<int>(access)
                   << ") at " << ToSeconds(at - start_) << " for "
                   << ToSeconds(time) << " s\n";
      Plan(at, [this, host, time, access] {
        network_.SetAccess(host, access);
        MonotonicTime& until = faulty_until_[static_cast<std::size_t>(host)];
        until = std::max(until, time_.Now() + time);
      });
      Plan(at + time, [this, host] {
        if (time_.Now() >= faulty_until_[static_cast<std::size_t>(host)]) {
          network_.SetAccess(host, StoreAccess::kNormal);
        }
      });
    }
  }

  void PlanRemovals() {
    for (int target = 0; target < kTargets; ++target) {
      Plan(start_ + DrawDuration(3, 25), [this, target] {
        store_.Remove(NameOf(target));
        network_.OnCommit();
        removed_at_[NameOf(target)] = time_.Now();
        description_ << NameOf(target) << " removed at "
                     << ToSeconds(time_.Now() - start_) << '\n';
      });
    }
  }

  [[nodiscard]] bool IsInTouch(int host) const {
    return time_.Now() - faulty_until_[static_cast<std::size_t>(host)] >=
           bounds_.in_touch_after;
  }

  void Observe() {
    const bool is_tick = (time_.Now() - start_) / kTickPeriod !=
                         (time_.Now() - kStep - start_) / kTickPeriod;
    for (int host = 0; host < bounds_.hosts; ++host) {
      TargetDirectory& directory =
          *directories_[static_cast<std::size_t>(host)];
      if (is_tick) {
        directory.Advance(time_.Now());
      }
      if (IsInTouch(host)) {
        ObserveUsable(host, directory);
      }
    }
  }

  void ObserveUsable(int host, TargetDirectory& directory) {
    for (const auto& region : directory.Usable(ServiceName("desk"))) {
      for (const request_path::TargetState* const target : region.targets) {
        const auto removed = removed_at_.find(target->Record().id.Value());
        if (removed == removed_at_.end() ||
            time_.Now() - removed->second <= longest_use_) {
          continue;
        }
        longest_use_ = time_.Now() - removed->second;
        description_ << "host " << host << " uses " << removed->first << " at "
                     << ToSeconds(time_.Now() - start_) << '\n';
      }
    }
  }

  const RemovalCase bounds_;
  std::ostringstream description_;
  VirtualTime time_;
  const MonotonicTime start_ = time_.Now();
  fakes::SeededRandom random_;
  ModelStore store_{kEntry};
  ModelNetwork network_;
  IgnoringObserver observer_;
  telemetry::MetricsRegistry metrics_;
  std::vector<std::unique_ptr<TargetDirectory>> directories_;
  std::unique_ptr<Region> region_;
  std::vector<MonotonicTime> faulty_until_;
  std::map<std::string, MonotonicTime> removed_at_;
  Duration longest_use_{0};
};

class RemovedTarget : public testing::TestWithParam<RemovalCase> {};

// Guards against requests to a target that has left, from hosts that lost only
// their own way to the store.
TEST_P(RemovedTarget, GetsNothingFromHostsThatWereCutOff) {
  constexpr std::uint64_t kSchedules = 300;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    RemovalSchedule schedule(seed, GetParam());
    const Duration longest_use = schedule.LongestUse();
    ASSERT_LE(longest_use, GetParam().target_left_within)
        << "seed " << seed << '\n'
        << schedule.Description();
  }
}

/// @brief Two hosts, and a store whose outage expires all entries.
class ExpiredTargetsTest : public testing::Test {
 protected:
  ExpiredTargetsTest() {
    store_.Put("a");
    store_.Put("b");
    region_ = std::make_unique<Region>(
        time_, network_, 2,
        FollowTimingFor(2, {.in_touch_after = seconds(4),
                            .changes_known_within = milliseconds(2500),
                            .target_heartbeat = milliseconds(1500)}),
        2, 0,
        [this](int host, ports::Timers& timers) {
          auto& directory = directories_.at(static_cast<std::size_t>(host));
          directory = std::make_unique<TargetDirectory>(
              request_path::DomainRegions{
                  {FailureDomainName("z"), RegionName("r")}},
              observer_);
          return std::make_unique<node::TargetTableListener>(timers, *directory,
                                                             metrics_);
        },
        RowExpiryFor(milliseconds(1500), seconds(4)));
  }

  void RunFor(Duration time) { time_.RunUntil(time_.Now() + time); }
  void SetAccess(StoreAccess access) {
    network_.SetAccess(0, access);
    network_.SetAccess(1, access);
  }
  [[nodiscard]] std::size_t CountUsable(int host) {
    TargetDirectory& directory =
        *directories_.at(static_cast<std::size_t>(host));
    directory.Advance(time_.Now());
    std::size_t usable = 0;
    for (const auto& region : directory.Usable(ServiceName("desk"))) {
      usable += region.targets.size();
    }
    return usable;
  }

  VirtualTime time_;
  ModelStore store_{kEntry};
  ModelNetwork network_{time_, store_, 1};
  IgnoringObserver observer_;
  telemetry::MetricsRegistry metrics_;
  std::array<std::unique_ptr<TargetDirectory>, 2> directories_;
  std::unique_ptr<Region> region_;
};

// Guards against refusing all callers for seconds after an outage of the store,
// in which the entries of live targets expired.
TEST_F(ExpiredTargetsTest, StayUsableUntilTheyHadTimeToReregister) {
  RunFor(seconds(3));
  SetAccess(StoreAccess::kRefused);
  RunFor(seconds(6));
  store_.Remove("a");
  store_.Remove("b");
  SetAccess(StoreAccess::kNormal);
  network_.OnCommit();
  for (Duration passed{0}; passed < milliseconds(1900);
       passed += milliseconds(100)) {
    RunFor(milliseconds(100));
    ASSERT_EQ(CountUsable(0), 2U) << ToSeconds(passed);
    ASSERT_EQ(CountUsable(1), 2U) << ToSeconds(passed);
  }

  store_.Put("a");
  network_.OnCommit();
  RunFor(seconds(2));
  EXPECT_EQ(CountUsable(0), 1U);
  EXPECT_EQ(CountUsable(1), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Bounds,
    RemovedTarget,
    testing::Values(RemovalCase{.name = "two_hosts_3s_2s",
                                .hosts = 2,
                                .target_left_within = seconds(2),
                                .in_touch_after = seconds(3)},
                    RemovalCase{.name = "four_hosts_4s_2500ms",
                                .hosts = 4,
                                .target_left_within = milliseconds(2500),
                                .in_touch_after = seconds(4)},
                    RemovalCase{.name = "nine_hosts_3s_2s",
                                .hosts = 9,
                                .target_left_within = seconds(2),
                                .in_touch_after = seconds(3)},
                    RemovalCase{.name = "nine_hosts_4s_3s",
                                .hosts = 9,
                                .target_left_within = seconds(3),
                                .in_touch_after = seconds(4)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::replication
