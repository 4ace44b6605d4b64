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
/// @brief Drawn schedules of changes and faults around hosts that follow a
/// table, and what each host must know meanwhile.

namespace medlarcroft::replication {

inline constexpr Duration kTroubles = seconds(24);
inline constexpr Duration kQuiet = seconds(10);

/// @brief What a schedule is played with.
struct ScheduleOptions {
  int hosts = 2;
  /// A leaving target and a configuration must be known so long after the store
  /// has acknowledged them, by hosts in touch with it.
  Duration known_within = milliseconds(2500);
  /// After so long without trouble a host is in touch with the store.
  Duration in_touch_after = seconds(4);
  /// The store also hangs.
  bool has_hangs = false;
};

/// @brief One schedule: changes of the table, and faults of hosts and store.
class Schedule {
 public:
  Schedule(std::uint64_t seed, const ScheduleOptions& options)
      : options_(options),
        random_(seed),
        network_(time_, store_, seed + 1),
        region_(time_,
                network_,
                options.hosts,
                FollowTimingFor(static_cast<std::size_t>(options.hosts),
                                options.in_touch_after),
                seed + 2,
                OtherReadersAsked(options.known_within)) {
    troubled_until_.resize(static_cast<std::size_t>(options.hosts),
                           time_.Now());
    const MonotonicTime end = time_.Now() + kTroubles;
    PlanChanges(end);
    PlanFaults(end);
    if (options.has_hangs) {
      // The other faults of a seed stay as they are.
      random_ = fakes::SeededRandom(seed + 3);
      PlanHangs(end);
    }
  }

  /// What is planned, for whoever traces a seed.
  [[nodiscard]] std::string Story() const { return story_.str(); }

  void Run() {
    time_.RunUntil(time_.Now() + kTroubles + kQuiet);
    for (int host = 0; host < region_.Size(); ++host) {
      CheckHost(host, store_.Newest());
    }
  }

 private:
  static constexpr std::uint64_t kKeys = 14;

  void Plan(MonotonicTime at, std::function<void()> task) {
    time_.At(VirtualTime::kNoHost, at, std::move(task));
  }
  void Tell(const char* what, int host, MonotonicTime at, Duration time) {
    story_ << ToSeconds(at - start_) << " s: " << what << ' ' << host << " for "
           << ToSeconds(time) << " s\n";
  }
  Duration Between(double least, double most) {
    return FromSeconds(least + (most - least) * random_.NextUnit());
  }
  int SomeHost() {
    return static_cast<int>(
        random_.NextBelow(static_cast<std::uint64_t>(region_.Size())));
  }

  void PlanChanges(MonotonicTime end) {
    for (MonotonicTime at = time_.Now(); at < end; at += Between(0.05, 1.5)) {
      const std::uint64_t key = random_.NextBelow(kKeys);
      const bool is_removal = random_.NextUnit() < 0.3;
      Tell(is_removal ? "removes" : "writes", static_cast<int>(key), at,
           Duration(0));
      Plan(at, [this, key, is_removal] { Change(key, is_removal); });
    }
  }

  void Change(std::uint64_t number, bool is_removal) {
    const std::string key = "k" + std::to_string(number);
    is_removal ? store_.Remove(key) : store_.Put(key);
    network_.OnCommit();
    const std::uint64_t version = store_.Newest();
    Plan(time_.Now() + options_.known_within, [this, version] {
      for (int host = 0; host < region_.Size(); ++host) {
        if (IsInTouch(host)) {
          CheckHost(host, version);
        }
      }
    });
  }

  bool IsInTouch(int host) const {
    return region_.IsAlive(host) &&
           time_.Now() - troubled_until_[static_cast<std::size_t>(host)] >=
               options_.in_touch_after &&
           time_.Now() - store_troubled_until_ >= options_.in_touch_after;
  }

  /// What a host knows of each row is as it was at `version` or later, and its
  /// knowledge never went back.
  void CheckHost(int host, std::uint64_t version) {
    const HeardRows& heard = region_.HeardBy(host);
    EXPECT_FALSE(heard.went_back) << "host " << host;
    EXPECT_GE(region_.FollowerOf(host).Mirror().Version(), version)
        << "host " << host << " at " << ToSeconds(time_.Now() - start_);
    for (const std::string& key : store_.Keys()) {
      const Row then = store_.LastChange(key, version);
      const Row last = store_.LastChange(key, store_.Newest());
      const auto known = heard.versions.find(key);
      if (known == heard.versions.end()) {
        EXPECT_TRUE(then.is_removed || last.version > then.version)
            << "host " << host << " lacks " << key;
      } else {
        EXPECT_GE(known->second, then.version)
            << "host " << host << " believes in an old " << key;
      }
    }
  }

  void PlanFaults(MonotonicTime end) {
    using Fault = void (Schedule::*)(MonotonicTime);
    constexpr std::array<Fault, 6> kFaults = {
        &Schedule::PauseHost,  &Schedule::KillHost,    &Schedule::RefuseHost,
        &Schedule::CutOffHost, &Schedule::CutOffStore, &Schedule::Compact};
    const std::uint64_t faults = 2 + random_.NextBelow(9);
    for (std::uint64_t i = 0; i < faults; ++i) {
      const MonotonicTime at =
          time_.Now() + Between(0, ToSeconds(end - time_.Now()) - 6);
      (this->*kFaults.at(random_.NextBelow(kFaults.size())))(at);
    }
  }

  void Trouble(int host, MonotonicTime from, Duration time) {
    Plan(from, [this, host, time] {
      MonotonicTime& until = troubled_until_[static_cast<std::size_t>(host)];
      until = std::max(until, time_.Now() + time);
    });
  }

  void PauseHost(MonotonicTime at) {
    const int host = SomeHost();
    const Duration time = Between(0.2, 5);
    Tell("paused", host, at, time);
    Trouble(host, at, time);
    Plan(at, [this, host, time] { time_.Pause(host, time_.Now() + time); });
  }
  void KillHost(MonotonicTime at) {
    const int host = SomeHost();
    const Duration time = Between(0.2, 3);
    Tell("killed", host, at, time);
    Trouble(host, at, time);
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
  static const char* NameOfHostFault(Treatment treatment) {
    switch (treatment) {
      case Treatment::kServed:
        return "served";
      case Treatment::kRefused:
        return "refused";
      case Treatment::kSilent:
        return "cut off";
      case Treatment::kHung:
        return "store hangs for";
    }
    return "";
  }
  void TreatHost(MonotonicTime at, Treatment treatment) {
    const int host = SomeHost();
    const Duration time = Between(0.5, 6);
    Tell(NameOfHostFault(treatment), host, at, time);
    Trouble(host, at, time);
    Plan(at, [this, host, treatment] { network_.Treat(host, treatment); });
    Plan(at + time, [this, host] { network_.Treat(host, Treatment::kServed); });
  }
  void RefuseHost(MonotonicTime at) { TreatHost(at, Treatment::kRefused); }
  void CutOffHost(MonotonicTime at) { TreatHost(at, Treatment::kSilent); }
  void CutOffStore(MonotonicTime at) {
    const Duration time = Between(0.3, 4);
    const Treatment treatment =
        random_.NextUnit() < 0.5 ? Treatment::kSilent : Treatment::kRefused;
    Tell(treatment == Treatment::kSilent ? "store silent" : "store refuses",
         VirtualTime::kNoHost, at, time);
    TreatAll(at, time, treatment);
  }
  void TreatAll(MonotonicTime at, Duration time, Treatment treatment) {
    for (int host = 0; host < region_.Size(); ++host) {
      Plan(at, [this, host, treatment] { network_.Treat(host, treatment); });
      Plan(at + time,
           [this, host] { network_.Treat(host, Treatment::kServed); });
    }
    Plan(at, [this, time] {
      store_troubled_until_ =
          std::max(store_troubled_until_, time_.Now() + time);
    });
  }
  void PlanHangs(MonotonicTime end) {
    const std::uint64_t hangs = 1 + random_.NextBelow(4);
    for (std::uint64_t i = 0; i < hangs; ++i) {
      const MonotonicTime at =
          time_.Now() + Between(0, ToSeconds(end - time_.Now()) - 6);
      const Duration time = Between(0.05, 6);
      Tell("store hangs", VirtualTime::kNoHost, at, time);
      TreatAll(at, time, Treatment::kHung);
    }
    if (random_.NextUnit() < 0.5) {
      TreatHost(time_.Now() + Between(0, ToSeconds(end - time_.Now()) - 6),
                Treatment::kHung);
    }
  }
  void Compact(MonotonicTime at) {
    Tell("history forgotten", VirtualTime::kNoHost, at, Duration(0));
    Plan(at, [this] { store_.Forget(); });
  }

  const ScheduleOptions options_;
  std::ostringstream story_;
  VirtualTime time_;
  const MonotonicTime start_ = time_.Now();
  fakes::SeededRandom random_;
  ModelStore store_;
  ModelNetwork network_;
  Region region_;
  std::vector<MonotonicTime> troubled_until_;
  MonotonicTime store_troubled_until_ = time_.Now();
};

/// @return whether the schedule of that seed held.
inline bool Holds(std::uint64_t seed, const ScheduleOptions& options) {
  Schedule schedule(seed, options);
  schedule.Run();
  EXPECT_FALSE(testing::Test::HasFailure()) << "seed " << seed << '\n'
                                            << schedule.Story();
  return !testing::Test::HasFailure();
}

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_TESTS_PROPERTY_TABLE_FOLLOWING_SCHEDULE_H_
