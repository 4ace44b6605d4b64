#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "medlarcroft/replication/follow_timing.h"
#include "multi_region_simulation.h"

namespace medlarcroft::peer_updates {
namespace {

using request_path::CrashReport;
using request_path::CrashTracker;
using request_path::RequestFingerprint;
using request_path::TargetNumber;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInTouchAfter = seconds(4);
constexpr Duration kRunTime = milliseconds(100);
constexpr std::size_t kSendsAllowed = 3;
// The longest time from storing a row until a host that is cut off from the
// reader of its region reads the row from the store.
constexpr Duration kBlockedRowDelay = replication::kHostListTiming.reader_wait +
                                      replication::kPeerAnswerMargin +
                                      replication::kRetryTime;

/// @brief Simulates a request that crashes every target and is retried at
/// random hosts of three regions, each with its own ledger.
class CrashSimulation final : public HostListener {
 public:
  explicit CrashSimulation(const HostsOfRegions::Options& options)
      : hosts_(options, *this), recovered_at_(options.hosts) {
    for (std::size_t place = 0; place < options.hosts; ++place) {
      ledgers_.push_back(std::make_unique<Ledger>(*this, place));
      ScheduleRepeats(place);
    }
    hosts_.RunFor(seconds(3));
  }

  [[nodiscard]] HostsOfRegions& Hosts() { return hosts_; }

  void Restart(std::size_t place) {
    hosts_.Restart(place);
    ledgers_[place] = std::make_unique<Ledger>(*this, place);
    MarkRecovered(place);
  }
  void Cut(std::size_t place, Duration length) {
    hosts_.Cut(place);
    hosts_.After(length, [this, place] {
      hosts_.Heal(place);
      MarkRecovered(place);
    });
  }
  /// @brief Disconnects the host from all other hosts. It still reaches the
  /// targets and the store, so its late sends are counted.
  void CutFromHostsOnly(std::size_t place) {
    hosts_.Cut(place);
    store_readers_.insert(place);
  }
  void Pause(std::size_t place, Duration length) {
    hosts_.Pause(place, length);
    hosts_.After(length, [this, place] { MarkRecovered(place); });
  }

  void AskFor(Duration time, Duration period) {
    const MonotonicTime end = hosts_.Now() + time;
    while (hosts_.Now() < end) {
      Ask(hosts_.Random().NextBelow(hosts_.Size()));
      hosts_.RunFor(period);
    }
  }

  /// @return the sends more than `kInTouchAfter` after the third crash, by
  /// hosts that had recovered from their last fault by the same margin.
  [[nodiscard]] std::size_t LateSends() const {
    std::size_t late = 0;
    for (const Send& send : sends_) {
      const bool is_bound = crashed_at_.size() >= 3 &&
                            send.at > crashed_at_[2] + kInTouchAfter &&
                            send.at > send.recovered_at + kInTouchAfter;
      late += is_bound ? 1 : 0;
    }
    return late;
  }
  [[nodiscard]] std::size_t Crashes() const { return crashed_at_.size(); }

  void OnHeard(std::size_t host, const PeerUpdate& news) override {
    for (const CrashReport& report : news.crashes) {
      ledgers_[host]->ledger.OnReport(report, hosts_.Now());
    }
  }

 private:
  struct Ledger final : public request_path::CrashObserver {
    Ledger(CrashSimulation& simulation, std::size_t place)
        : simulation(simulation), place(place) {
      ledger.Observe(this);
    }
    void OnPublish(const CrashReport& report) override {
      simulation.hosts_.At(place).TellCrashes(std::span(&report, 1));
    }
    void OnBlocked(RequestFingerprint /*request*/,
                   Duration blocked_for,
                   bool is_own) override {
      if (is_own) {
        simulation.StoreBlockedRow(blocked_for);
      }
    }
    void OnUnblocked(RequestFingerprint /*request*/) override {}

    CrashSimulation& simulation;
    std::size_t place;
    CrashTracker ledger{{}};
  };
  struct Send {
    MonotonicTime at;
    MonotonicTime recovered_at;
  };

  void MarkRecovered(std::size_t place) { recovered_at_[place] = hosts_.Now(); }

  void Ask(std::size_t place) {
    if (hosts_.IsPaused(place) ||
        ledgers_[place]->ledger.BlockedFor(kRequest, hosts_.Now())) {
      return;
    }
    const bool is_cut = hosts_.IsCut(place) && !store_readers_.contains(place);
    sends_.push_back(
        {.at = hosts_.Now(),
         .recovered_at = is_cut ? hosts_.Now() : recovered_at_[place]});
    const TargetNumber target{++last_target_};
    hosts_.After(kRunTime, [this, place, target] {
      crashed_at_.push_back(hosts_.Now());
      ledgers_[place]->ledger.OnCrash(kRequest, target, hosts_.Now());
    });
  }

  void StoreBlockedRow(Duration blocked_for) {
    if (is_blocked_row_stored_) {
      return;
    }
    is_blocked_row_stored_ = true;
    hosts_.After(kBlockedRowDelay, [this, blocked_for] {
      for (const std::size_t place : store_readers_) {
        ledgers_[place]->ledger.OnReport(
            {.kind = request_path::CrashReportKind::kBlocked,
             .request = kRequest,
             .blocked_for = blocked_for - kBlockedRowDelay},
            hosts_.Now());
      }
    });
  }

  void ScheduleRepeats(std::size_t place) {
    hosts_.After(kGlobalRepeatPeriod, [this, place] {
      if (!hosts_.IsPaused(place)) {
        hosts_.At(place).TellCrashes(
            ledgers_[place]->ledger.ReportsToRepeat(40, hosts_.Now()));
      }
      ScheduleRepeats(place);
    });
  }

  inline static const auto kRequest = RequestFingerprint::Of({"crash"});

  HostsOfRegions hosts_;
  std::vector<std::unique_ptr<Ledger>> ledgers_;
  std::vector<MonotonicTime> recovered_at_;
  std::vector<MonotonicTime> crashed_at_;
  std::vector<Send> sends_;
  std::uint32_t last_target_ = 0;
  /// Hosts that hear no others and learn of blocks from the store.
  std::set<std::size_t> store_readers_;
  bool is_blocked_row_stored_ = false;
};

struct CrashCase {
  std::string name;
  std::size_t hosts;
  double lost_part;
  std::function<void(CrashSimulation&)> inject_faults;
};

class CrashNewsTable : public testing::TestWithParam<CrashCase> {};

// Guards against hosts that keep sending a crashing request because each one
// observes too few of the crashes.
TEST_P(CrashNewsTable, ConnectedHostsStopSendingTheRequest) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CrashSimulation simulation({.hosts = GetParam().hosts,
                                .lost_part = GetParam().lost_part,
                                .seed = seed});
    simulation.AskFor(seconds(2), milliseconds(60));
    GetParam().inject_faults(simulation);
    simulation.AskFor(seconds(16), milliseconds(60));
    EXPECT_GE(simulation.Crashes(), 3U);
    EXPECT_LE(simulation.LateSends(), kSendsAllowed) << "seed " << seed;
  }
}

class CutOffTable : public testing::TestWithParam<std::size_t> {};

// Guards against hosts that reach the store but no other host, and keep sending
// a request that the other hosts have blocked.
TEST_P(CutOffTable, CutOffHostsStopSendingTheRequest) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CrashSimulation simulation(
        {.hosts = GetParam(), .lost_part = 0.05, .seed = seed});
    for (std::size_t place = 0; place < GetParam(); place += 4) {
      simulation.CutFromHostsOnly(place);
    }
    simulation.AskFor(seconds(12), milliseconds(60));
    EXPECT_GE(simulation.Crashes(), 3U);
    EXPECT_LE(simulation.LateSends(), kSendsAllowed) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(All, CutOffTable, testing::Values(8, 58, 295));

std::vector<CrashCase> CrashCases() {
  std::vector<CrashCase> cases;
  for (const std::size_t hosts : {8, 58, 295}) {
    const std::string size = std::to_string(hosts) + "_hosts_";
    const auto add = [&](const std::string& name, double lost_part,
                         std::function<void(CrashSimulation&)> inject_faults) {
      cases.push_back({.name = size + name,
                       .hosts = hosts,
                       .lost_part = lost_part,
                       .inject_faults = std::move(inject_faults)});
    };
    add("no_faults", 0, [](CrashSimulation&) {});
    add("a_fifth_of_datagrams_lost", 0.2, [](CrashSimulation&) {});
    add("a_third_restarted", 0, [](CrashSimulation& simulation) {
      for (std::size_t place = 0; place < simulation.Hosts().Size();
           place += 3) {
        simulation.Restart(place);
      }
    });
    add("a_quarter_cut_off", 0.05, [](CrashSimulation& simulation) {
      for (std::size_t place = 0; place < simulation.Hosts().Size();
           place += 4) {
        simulation.Cut(place, seconds(5));
      }
    });
    add("a_quarter_paused", 0.05, [](CrashSimulation& simulation) {
      for (std::size_t place = 1; place < simulation.Hosts().Size();
           place += 4) {
        simulation.Pause(place, seconds(5));
      }
    });
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(All,
                         CrashNewsTable,
                         testing::ValuesIn(CrashCases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::peer_updates
