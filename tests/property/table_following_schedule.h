#ifndef MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_SCHEDULE_H_
#define MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_SCHEDULE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "table_following_world.h"

/// @file
/// @brief Random schedules of changes and faults around hosts that follow
/// a table, and checks of what each host must know meanwhile.

namespace medlarcroft::replication {

inline constexpr Duration kFaultPhase = seconds(24);
inline constexpr Duration kRecoveryPhase = seconds(10);
inline constexpr Duration kTargetHeartbeat = milliseconds(1500);

/// @brief Parameters of a schedule.
struct ScheduleOptions {
  int hosts = 2;
  /// Time after the acknowledgement by the store within which connected hosts
  /// must know of a change, such as a leaving target or a new configuration.
  Duration propagation_limit = milliseconds(2500);
  /// Time after the last fault after which a host counts as connected to the
  /// store.
  Duration recovery_time = seconds(4);
  /// Whether the store also hangs.
  bool has_hangs = false;
};

/// @brief One schedule: changes of the table, and faults of the hosts and the
/// store.
class Schedule {
 public:
  Schedule(std::uint64_t seed, const ScheduleOptions& options)
      : options_(options),
        random_(seed),
        network_(time_, store_, seed + 1),
        region_(
            time_,
            network_,
            options.hosts,
            FollowTimingFor(static_cast<std::size_t>(options.hosts),
                            {.in_touch_after = options.recovery_time,
                             .changes_known_within = options.propagation_limit,
                             .target_heartbeat = kTargetHeartbeat}),
            seed + 2,
            OtherReadersAsked(options.propagation_limit)) {
    faulty_until_.resize(static_cast<std::size_t>(options.hosts), time_.Now());
    const MonotonicTime end = time_.Now() + kFaultPhase;
    PlanChanges(end);
    PlanFaults(end);
    if (options.has_hangs) {
      // A separate generator: enabling hangs leaves the other faults of a seed
      // unchanged.
      random_ = fakes::SeededRandom(seed + 3);
      PlanHangs(end);
    }
  }

  /// @return the planned changes and faults, to trace a failing seed.
  [[nodiscard]] std::string Description() const { return description_.str(); }

  void Run() {
    time_.RunUntil(time_.Now() + kFaultPhase + kRecoveryPhase);
    for (int host = 0; host < region_.Size(); ++host) {
      CheckHost(host, store_.Newest());
    }
  }

 private:
  static constexpr std::uint64_t kKeys = 14;

  void Plan(MonotonicTime at, std::function<void()> task) {
    time_.At(VirtualTime::kNoHost, at, std::move(task));
  }
  void AddToDescription(const char* what,
                        int host,
                        MonotonicTime at,
                        Duration time) {
    description_ << ToSeconds(at - start_) << " s: " << what << ' ' << host
                 << " for " << ToSeconds(time) << " s\n";
  }
  Duration DrawDuration(double least, double most) {
    return FromSeconds(least + (most - least) * random_.NextUnit());
  }
  int DrawHost() {
    return static_cast<int>(
        random_.NextBelow(static_cast<std::uint64_t>(region_.Size())));
  }

  void PlanChanges(MonotonicTime end) {
    for (MonotonicTime at = time_.Now(); at < end;
         at += DrawDuration(0.05, 1.5)) {
      const std::uint64_t key = random_.NextBelow(kKeys);
      const bool is_removal = random_.NextUnit() < 0.3;
      AddToDescription(is_removal ? "removes" : "writes", static_cast<int>(key),
                       at, Duration(0));
      Plan(at, [this, key, is_removal] { Change(key, is_removal); });
    }
  }

  void Change(std::uint64_t number, bool is_removal) {
    const std::string key = "k" + std::to_string(number);
    is_removal ? store_.Remove(key) : store_.Put(key);
    network_.OnCommit();
    const std::uint64_t version = store_.Newest();
    Plan(time_.Now() + options_.propagation_limit, [this, version] {
      for (int host = 0; host < region_.Size(); ++host) {
        if (IsConnected(host)) {
          CheckHost(host, version);
        }
      }
    });
  }

  bool IsConnected(int host) const {
    return region_.IsAlive(host) &&
           time_.Now() - faulty_until_[static_cast<std::size_t>(host)] >=
               options_.recovery_time &&
           time_.Now() - store_faulty_until_ >= options_.recovery_time;
  }

  /// Checks that the host knows each row as of `version` or later, and that its
  /// knowledge never went back to an older version.
  void CheckHost(int host, std::uint64_t version) {
    const ReceivedRows& received = region_.ReceivedBy(host);
    EXPECT_FALSE(received.went_backwards) << "host " << host;
    EXPECT_GE(region_.FollowerOf(host).Mirror().Version(), version)
        << "host " << host << " at " << ToSeconds(time_.Now() - start_);
    for (const std::string& key : store_.Keys()) {
      const Row then = store_.LastChange(key, version);
      const Row last = store_.LastChange(key, store_.Newest());
      const auto known = received.versions.find(key);
      if (known == received.versions.end()) {
        EXPECT_TRUE(then.is_removed || last.version > then.version)
            << "host " << host << " does not have " << key;
      } else {
        EXPECT_GE(known->second, then.version)
            << "host " << host << " has an outdated " << key;
      }
    }
  }

  void PlanFaults(MonotonicTime end) {
    using Fault = void (Schedule::*)(MonotonicTime);
    constexpr std::array<Fault, 6> kFaults = {&Schedule::PauseHost,
                                              &Schedule::KillHost,
                                              &Schedule::RefuseHost,
                                              &Schedule::PartitionHost,
                                              &Schedule::MakeStoreUnavailable,
                                              &Schedule::Compact};
    const std::uint64_t faults = 2 + random_.NextBelow(9);
    for (std::uint64_t i = 0; i < faults; ++i) {
      const MonotonicTime at =
          time_.Now() + DrawDuration(0, ToSeconds(end - time_.Now()) - 6);
      (this->*kFaults.at(random_.NextBelow(kFaults.size())))(at);
    }
  }

  void MarkFaulty(int host, MonotonicTime from, Duration time) {
    Plan(from, [this, host, time] {
      MonotonicTime& until = faulty_until_[static_cast<std::size_t>(host)];
      until = std::max(until, time_.Now() + time);
    });
  }

  void PauseHost(MonotonicTime at) {
    const int host = DrawHost();
    const Duration time = DrawDuration(0.2, 5);
    AddToDescription("paused", host, at, time);
    MarkFaulty(host, at, time);
    Plan(at, [this, host, time] { time_.Pause(host, time_.Now() + time); });
  }
  void KillHost(MonotonicTime at) {
    const int host = DrawHost();
    const Duration time = DrawDuration(0.2, 3);
    AddToDescription("killed", host, at, time);
    MarkFaulty(host, at, time);
    Plan(at, [this, host] {
      if (region_.IsAlive(host)) {
        region_.Kill(host);
      }
    });
    Plan(at + time, [this, host] {
      if (!region_.IsAlive(host)) {
        region_.Start(host);
      }
    });
  }
  static const char* HostFaultName(StoreAccess access) {
    switch (access) {
      case StoreAccess::kNormal:
        return "served";
      case StoreAccess::kRefused:
        return "refused";
      case StoreAccess::kPartitioned:
        return "partitioned";
      case StoreAccess::kHung:
        return "store hangs for host";
      case StoreAccess::kIsolated:
        return "isolated";
    }
    return "";
  }
  void SetHostAccess(MonotonicTime at, StoreAccess access) {
    const int host = DrawHost();
    const Duration time = DrawDuration(0.5, 6);
    AddToDescription(HostFaultName(access), host, at, time);
    MarkFaulty(host, at, time);
    Plan(at, [this, host, access] { network_.SetAccess(host, access); });
    Plan(at + time,
         [this, host] { network_.SetAccess(host, StoreAccess::kNormal); });
  }
  void RefuseHost(MonotonicTime at) {
    SetHostAccess(at, StoreAccess::kRefused);
  }
  void PartitionHost(MonotonicTime at) {
    SetHostAccess(at, StoreAccess::kPartitioned);
  }
  void MakeStoreUnavailable(MonotonicTime at) {
    const Duration time = DrawDuration(0.3, 4);
    const StoreAccess access = random_.NextUnit() < 0.5
                                   ? StoreAccess::kPartitioned
                                   : StoreAccess::kRefused;
    AddToDescription(access == StoreAccess::kPartitioned ? "store unreachable"
                                                         : "store refuses",
                     VirtualTime::kNoHost, at, time);
    SetAccessForAll(at, time, access);
  }
  void SetAccessForAll(MonotonicTime at, Duration time, StoreAccess access) {
    for (int host = 0; host < region_.Size(); ++host) {
      Plan(at, [this, host, access] { network_.SetAccess(host, access); });
      Plan(at + time,
           [this, host] { network_.SetAccess(host, StoreAccess::kNormal); });
    }
    Plan(at, [this, time] {
      store_faulty_until_ = std::max(store_faulty_until_, time_.Now() + time);
    });
  }
  void PlanHangs(MonotonicTime end) {
    const std::uint64_t hangs = 1 + random_.NextBelow(4);
    for (std::uint64_t i = 0; i < hangs; ++i) {
      const MonotonicTime at =
          time_.Now() + DrawDuration(0, ToSeconds(end - time_.Now()) - 6);
      const Duration time = DrawDuration(0.05, 6);
      AddToDescription("store hangs", VirtualTime::kNoHost, at, time);
      SetAccessForAll(at, time, StoreAccess::kHung);
    }
    if (random_.NextUnit() < 0.5) {
      SetHostAccess(
          time_.Now() + DrawDuration(0, ToSeconds(end - time_.Now()) - 6),
          StoreAccess::kHung);
    }
  }
  void Compact(MonotonicTime at) {
    AddToDescription("history compacted", VirtualTime::kNoHost, at,
                     Duration(0));
    Plan(at, [this] { store_.CompactHistory(); });
  }

  const ScheduleOptions options_;
  std::ostringstream description_;
  VirtualTime time_;
  const MonotonicTime start_ = time_.Now();
  fakes::SeededRandom random_;
  ModelStore store_;
  ModelNetwork network_;
  Region region_;
  std::vector<MonotonicTime> faulty_until_;
  MonotonicTime store_faulty_until_ = time_.Now();
};

/// @brief Runs the schedule of a seed.
/// @return whether all checks passed.
inline bool Holds(std::uint64_t seed, const ScheduleOptions& options) {
  Schedule schedule(seed, options);
  schedule.Run();
  EXPECT_FALSE(testing::Test::HasFailure()) << "seed " << seed << '\n'
                                            << schedule.Description();
  return !testing::Test::HasFailure();
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_SCHEDULE_H_
