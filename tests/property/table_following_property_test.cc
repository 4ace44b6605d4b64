#include <gtest/gtest.h>

#include <array>
#include <sstream>
#include <string>
#include <vector>

#include "table_following_world.h"

namespace medlarcroft::rows {
namespace {

// A leaving target and a configuration must be known 2.5 s after the store has
// acknowledged them, by hosts that were in touch with it for 4 s.
constexpr Duration kKnownWithin = milliseconds(2500);
constexpr Duration kTroubles = seconds(24);
constexpr Duration kQuiet = seconds(10);

/// @brief What a schedule is played with.
struct ScheduleOptions {
  int hosts = 2;
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
                options.in_touch_after,
                seed + 2) {
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
    time_.At(VirtualTime::kNobody, at, std::move(task));
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
    Plan(time_.Now() + kKnownWithin, [this, version] {
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
  void TreatHost(MonotonicTime at, Treatment treatment) {
    const int host = SomeHost();
    const Duration time = Between(0.5, 6);
    Tell(treatment == Treatment::kSilent ? "cut off" : "refused", host, at,
         time);
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
         VirtualTime::kNobody, at, time);
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
      Tell("store hangs", VirtualTime::kNobody, at, time);
      TreatAll(at, time, Treatment::kHung);
    }
  }
  void Compact(MonotonicTime at) {
    Tell("history forgotten", VirtualTime::kNobody, at, Duration(0));
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
bool Holds(std::uint64_t seed, const ScheduleOptions& options) {
  Schedule schedule(seed, options);
  schedule.Run();
  EXPECT_FALSE(testing::Test::HasFailure()) << "seed " << seed << '\n'
                                            << schedule.Story();
  return !testing::Test::HasFailure();
}

class TableFollowing : public testing::TestWithParam<int> {
 protected:
  static bool Holds(std::uint64_t seed) {
    return medlarcroft::rows::Holds(seed, {.hosts = GetParam()});
  }
};

// Callers see a route denied that was added, or an answer of a target that
// left, when a host does not hear what the store acknowledged. Hosts that read
// for others are paused, killed, turned away and cut off, with and without the
// store itself, and it forgets its history; each schedule is one seed.
TEST_P(TableFollowing, HostsInTouchKnowWhatTheStoreAcknowledged) {
  constexpr std::uint64_t kSchedules = 1000;
  for (std::uint64_t seed = 1; seed <= kSchedules && Holds(seed); ++seed) {
  }
}

// Seeds that failed once, beyond the range above.
TEST_P(TableFollowing, SeedsThatFailedOnceHold) {
  for (const std::uint64_t seed : {5919, 3986}) {
    if (!Holds(seed)) {
      return;
    }
  }
}

class HungStore : public testing::TestWithParam<ScheduleOptions> {};

// What callers see is told in the test below. Here the store hangs several
// times, for all or for one host, beside all the other faults.
TEST_P(HungStore, HostsInTouchKnowWhatItAcknowledgesAfterwards) {
  constexpr std::uint64_t kSchedules = 1000;
  for (std::uint64_t seed = 1; seed <= kSchedules && Holds(seed, GetParam());
       ++seed) {
  }
}

INSTANTIATE_TEST_SUITE_P(
    Hosts,
    HungStore,
    testing::Values(ScheduleOptions{.hosts = 2, .has_hangs = true},
                    ScheduleOptions{.hosts = 4,
                                    .in_touch_after = seconds(3),
                                    .has_hangs = true},
                    ScheduleOptions{.hosts = 7, .has_hangs = true},
                    ScheduleOptions{.hosts = 12,
                                    .in_touch_after = seconds(3),
                                    .has_hangs = true}),
    [](const auto& info) {
      return "of_" + std::to_string(info.param.hosts) + "_in_touch_after_" +
             std::to_string(info.param.in_touch_after / seconds(1)) + "_s";
    });

// An operator adds a route and the change is accepted; seconds later one host
// still denies it, or serves another as before, while others are in step.
// The store hangs for a moment and a host asks it just then; it goes on and
// accepts changes, but never answers what reached it while it hung. The host
// waited for the hold and its margin, 6 s, longer than it had: 4 s.
// Evidence: `store-lost` with `timed-out` 6 s after the last answer, and all
// versions together right after it; hosts whose call the store already held
// heard each version within 0.1 s.
TEST(HungStoreTest, AHostHearsOfChangesThoughItsCallIsNeverAnswered) {
  VirtualTime time;
  ModelStore store;
  ModelNetwork network(time, store, 1);
  Region region(time, network, 2, seconds(4), 2);
  const MonotonicTime start = time.Now();
  const auto treat_all = [&](Treatment treatment) {
    for (int host = 0; host < region.Size(); ++host) {
      network.Treat(host, treatment);
    }
  };
  time.RunUntil(start + seconds(1));
  store.Put("configuration");
  network.OnCommit();
  treat_all(Treatment::kHung);
  time.RunUntil(start + milliseconds(1900));
  treat_all(Treatment::kServed);
  time.RunUntil(start + milliseconds(2200));
  store.Put("configuration");
  network.OnCommit();
  time.RunUntil(start + milliseconds(5900));

  for (int host = 0; host < region.Size(); ++host) {
    EXPECT_EQ(region.FollowerOf(host).Mirror().Version(), store.Newest())
        << "host " << host;
  }
}

/// @brief A store that refuses every second call, and else tells a change.
class FlappingSource final : public RowSource {
 public:
  explicit FlappingSource(ports::Timers& timers) : timers_(timers) {}

  void List(std::string_view,
            std::string_view,
            RowsCallback callback) override {
    Answer(std::move(callback));
  }
  void Follow(std::string_view,
              std::uint64_t,
              Duration,
              RowsCallback callback) override {
    Answer(std::move(callback));
  }

 private:
  void Answer(RowsCallback callback) {
    const std::uint64_t call = ++calls_;
    timers_.RunAfter(milliseconds(5), [call, callback = std::move(callback)] {
      if (call % 2 == 1) {
        callback(RowFailure::kRefused);
      } else {
        callback(RowBatch{.rows = {{.key = "k", .version = call}},
                          .newest_version = call});
      }
    });
  }

  ports::Timers& timers_;
  std::uint64_t calls_ = 0;
};

// The store turns a host away, takes it back and turns it away again, several
// times a second. Other hosts, which have requests to serve, are asked by it no
// more often than by a host that is turned away for good.
TEST(TableFollowerTest, AFlappingStoreDoesNotMultiplyQuestionsToOthers) {
  constexpr Duration kFlapping = seconds(10);
  constexpr Duration kBetweenQuestions = milliseconds(400);
  VirtualTime time;
  HostTimers timers(time, 0);
  FlappingSource source(timers);
  fakes::SeededRandom random(2);
  HeardRows heard;
  int questions = 0;
  TableFollower follower(
      {.timers = timers, .store = source, .random = random, .listener = heard},
      {.table = "t",
       .pace = kPaceAlone,
       .ask_peer = [&](const PeerQuestion&, RowsCallback callback) {
         ++questions;
         timers.RunAfter(milliseconds(1), [callback = std::move(callback)] {
           callback(RowFailure::kRefused);
         });
       }});
  follower.Start();
  time.RunUntil(time.Now() + kFlapping);

  EXPECT_GT(questions, 0);
  EXPECT_LE(questions, kFlapping / kBetweenQuestions + 1);
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         TableFollowing,
                         testing::Values(2, 4, 7, 12),
                         [](const auto& info) {
                           return "of_" + std::to_string(info.param);
                         });

}  // namespace
}  // namespace medlarcroft::rows
