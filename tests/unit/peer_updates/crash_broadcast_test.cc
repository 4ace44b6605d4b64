#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <set>
#include <span>
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
// The longest time from storing a row until a host that is disconnected from
// the reader of its region reads the row from the store.
constexpr Duration kBlockedRowDelay = replication::kHostListTiming.reader_wait +
                                      replication::kPeerAnswerMargin +
                                      replication::kRetryTime;

/// @brief Simulates hosts of three regions, each with its own ledger, a request
/// that crashes every target and is retried at random hosts, and waves in which
/// many targets end at once under requests that crash nothing.
class CrashSimulation final : public UpdateListener {
 public:
  explicit CrashSimulation(const MultiRegionSimulation::Options& options)
      : hosts_(options, *this), recovered_at_(options.hosts) {
    for (std::size_t index = 0; index < options.hosts; ++index) {
      ledgers_.push_back(std::make_unique<Ledger>(*this, index));
      ScheduleRepeats(index);
    }
    hosts_.RunFor(seconds(3));
  }

  [[nodiscard]] MultiRegionSimulation& Hosts() { return hosts_; }

  void Restart(std::size_t index) {
    hosts_.Restart(index);
    ledgers_[index] = std::make_unique<Ledger>(*this, index);
    MarkRecovered(index);
  }
  void Disconnect(std::size_t index, Duration length) {
    hosts_.Disconnect(index);
    hosts_.After(length, [this, index] {
      hosts_.Reconnect(index);
      MarkRecovered(index);
    });
  }
  /// @brief Disconnects the host from all other hosts. It still reaches the
  /// targets and the store, so its late sends are counted.
  void DisconnectFromHosts(std::size_t index) {
    hosts_.Disconnect(index);
    store_readers_.insert(index);
  }
  void Pause(std::size_t index, Duration length) {
    hosts_.Pause(index, length);
    hosts_.After(length, [this, index] { MarkRecovered(index); });
  }

  /// @brief Ends targets at once, each under two requests that run nowhere
  /// else. Each of `unlucky` runs on one of them, at times on two.
  void EndTargets(std::size_t count,
                  std::span<const RequestFingerprint> unlucky = {}) {
    const std::uint32_t before = last_target_;
    for (std::size_t ended = 0; ended < count; ++ended) {
      const TargetNumber target{++last_target_};
      for (int request = 0; request < 2; ++request) {
        ReportEnd(RequestFingerprint::FromValue(++last_innocent_), target);
      }
    }
    for (const RequestFingerprint request : unlucky) {
      const std::size_t sends = 1 + hosts_.Random().NextBelow(3) / 2;
      for (std::size_t send = 0; send < sends; ++send) {
        const auto chosen =
            static_cast<std::uint32_t>(hosts_.Random().NextBelow(count));
        ReportEnd(request, TargetNumber{before + 1 + chosen});
      }
    }
  }
  void RunFor(Duration time) { hosts_.RunFor(time); }

  void SendRequestsFor(Duration time, Duration period) {
    const MonotonicTime end = hosts_.Now() + time;
    while (hosts_.Now() < end) {
      SendRequest(hosts_.Random().NextBelow(hosts_.Size()));
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
  /// @return how often a host blocked a request that crashes nothing.
  [[nodiscard]] std::size_t InnocentBlocks() const { return innocent_blocks_; }

  void OnUpdateReceived(std::size_t host, const PeerUpdate& update) override {
    for (const CrashReport& report : update.crashes) {
      ledgers_[host]->ledger.OnReport(report, hosts_.Now());
    }
  }

 private:
  struct Ledger final : public request_path::CrashObserver {
    Ledger(CrashSimulation& simulation, std::size_t index)
        : simulation(simulation), index(index) {
      ledger.Observe(this);
    }
    void OnPublish(const CrashReport& report) override {
      simulation.hosts_.At(index).BroadcastCrashes(std::span(&report, 1));
    }
    void OnBlocked(RequestFingerprint request,
                   Duration blocked_for,
                   bool is_own) override {
      if (request != kRequest) {
        ++simulation.innocent_blocks_;
      } else if (is_own) {
        simulation.StoreBlockedRow(blocked_for);
      }
    }
    void OnUnblocked(RequestFingerprint /*request*/) override {}
    void OnHeld(RequestFingerprint /*request*/, Duration delay) override {
      simulation.hosts_.After(delay, [&simulation = simulation, index = index] {
        simulation.Advance(index);
      });
    }

    CrashSimulation& simulation;
    std::size_t index;
    CrashTracker ledger{{}};
  };
  struct Send {
    MonotonicTime at;
    MonotonicTime recovered_at;
  };

  void MarkRecovered(std::size_t index) { recovered_at_[index] = hosts_.Now(); }

  /// Hosts learn of an end a round trip to the target later.
  void ReportEnd(RequestFingerprint request, TargetNumber target) {
    const std::size_t index = hosts_.Random().NextBelow(hosts_.Size());
    const Duration age =
        milliseconds(static_cast<int>(hosts_.Random().NextBelow(250)));
    hosts_.After(age, [this, request, target, index, age] {
      if (!hosts_.IsPaused(index)) {
        ledgers_[index]->ledger.OnCrash(request, target, hosts_.Now(), age);
      }
    });
  }

  void SendRequest(std::size_t index) {
    if (hosts_.IsPaused(index) ||
        ledgers_[index]->ledger.BlockedFor(kRequest, hosts_.Now())) {
      return;
    }
    const bool is_disconnected =
        hosts_.IsDisconnected(index) && !store_readers_.contains(index);
    sends_.push_back({.at = hosts_.Now(),
                      .recovered_at = is_disconnected ? hosts_.Now()
                                                      : recovered_at_[index]});
    const TargetNumber target{++last_target_};
    hosts_.After(kRunTime, [this, index, target] {
      crashed_at_.push_back(hosts_.Now());
      ledgers_[index]->ledger.OnCrash(kRequest, target, hosts_.Now());
    });
  }

  void StoreBlockedRow(Duration blocked_for) {
    if (is_blocked_row_stored_) {
      return;
    }
    is_blocked_row_stored_ = true;
    hosts_.After(kBlockedRowDelay, [this, blocked_for] {
      for (const std::size_t index : store_readers_) {
        ledgers_[index]->ledger.OnReport(
            {.kind = request_path::CrashReportKind::kBlocked,
             .request = kRequest,
             .blocked_for = blocked_for - kBlockedRowDelay},
            hosts_.Now());
      }
    });
  }

  void Advance(std::size_t index) {
    if (!hosts_.IsPaused(index)) {
      ledgers_[index]->ledger.Advance(hosts_.Now());
    }
  }

  void ScheduleRepeats(std::size_t index) {
    hosts_.After(kGlobalRepeatPeriod, [this, index] {
      if (!hosts_.IsPaused(index)) {
        Advance(index);
        hosts_.At(index).BroadcastCrashes(
            ledgers_[index]->ledger.ReportsToRepeat(40, hosts_.Now()));
      }
      ScheduleRepeats(index);
    });
  }

  inline static const auto kRequest = RequestFingerprint::Of({"crash"});

  MultiRegionSimulation hosts_;
  std::vector<std::unique_ptr<Ledger>> ledgers_;
  std::vector<MonotonicTime> recovered_at_;
  std::vector<MonotonicTime> crashed_at_;
  std::vector<Send> sends_;
  std::uint32_t last_target_ = 0;
  std::uint64_t last_innocent_ = 0;
  std::size_t innocent_blocks_ = 0;
  /// Hosts that are disconnected from all others and learn of blocks from the
  /// store.
  std::set<std::size_t> store_readers_;
  bool is_blocked_row_stored_ = false;
};

struct CrashCase {
  std::string name;
  std::size_t hosts;
  double loss_rate;
  std::function<void(CrashSimulation&)> inject_faults;
};

class CrashBroadcastTable : public testing::TestWithParam<CrashCase> {};

// Guards against hosts that keep sending a crashing request because each one
// observes too few of the crashes.
TEST_P(CrashBroadcastTable, ConnectedHostsStopSendingTheRequest) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CrashSimulation simulation({.hosts = GetParam().hosts,
                                .loss_rate = GetParam().loss_rate,
                                .seed = seed});
    simulation.SendRequestsFor(seconds(2), milliseconds(60));
    GetParam().inject_faults(simulation);
    simulation.SendRequestsFor(seconds(16), milliseconds(60));
    EXPECT_GE(simulation.Crashes(), 3U);
    EXPECT_LE(simulation.LateSends(), kSendsAllowed) << "seed " << seed;
  }
}

class DisconnectedHostsTable : public testing::TestWithParam<std::size_t> {};

// Guards against hosts that reach the store but no other host, and keep sending
// a request that the other hosts have blocked.
TEST_P(DisconnectedHostsTable, DisconnectedHostsStopSendingTheRequest) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CrashSimulation simulation(
        {.hosts = GetParam(), .loss_rate = 0.05, .seed = seed});
    for (std::size_t index = 0; index < GetParam(); index += 4) {
      simulation.DisconnectFromHosts(index);
    }
    simulation.SendRequestsFor(seconds(12), milliseconds(60));
    EXPECT_GE(simulation.Crashes(), 3U);
    EXPECT_LE(simulation.LateSends(), kSendsAllowed) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         DisconnectedHostsTable,
                         testing::Values(8, 58, 295));

struct WaveCase {
  std::size_t hosts;
  std::size_t targets;
  int trials;  ///< Of three waves each.
};

class WaveTable : public testing::TestWithParam<WaveCase> {};

// Guards against blocking requests that crash nothing: in three waves of ends
// within eleven seconds some request ran on an ended target each time, and was
// never answered in between.
TEST_P(WaveTable, RequestsThatRunInEachWaveAreNotBlocked) {
  const std::vector<RequestFingerprint> unlucky = {
      RequestFingerprint::Of({"a"}), RequestFingerprint::Of({"b"}),
      RequestFingerprint::Of({"c"}), RequestFingerprint::Of({"d"})};
  for (int trial = 1; trial <= GetParam().trials; ++trial) {
    CrashSimulation simulation({.hosts = GetParam().hosts,
                                .loss_rate = 0.05,
                                .seed = static_cast<std::uint64_t>(trial)});
    for (const double share : {0.7, 0.5, 0.2}) {
      const double ended = share * static_cast<double>(GetParam().targets);
      simulation.EndTargets(static_cast<std::size_t>(ended), unlucky);
      simulation.RunFor(milliseconds(3500));
    }
    EXPECT_EQ(simulation.InnocentBlocks(), 0U) << "trial " << trial;
  }
}

// Guards against hosts that keep sending a request that crashes targets,
// because they take the crashes for a part of the waves that go on meanwhile.
TEST_P(WaveTable, ARequestThatCrashesTargetsIsBlockedAllTheSame) {
  constexpr int kWaves = 8;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CrashSimulation simulation({.hosts = GetParam().hosts, .seed = seed});
    for (int wave = 0; wave < kWaves; ++wave) {
      simulation.EndTargets(GetParam().targets / 5);
      simulation.SendRequestsFor(milliseconds(700), milliseconds(60));
    }
    simulation.SendRequestsFor(seconds(10), milliseconds(60));
    EXPECT_GE(simulation.Crashes(), 3U);
    EXPECT_LE(simulation.LateSends(), kSendsAllowed) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         WaveTable,
                         testing::Values(WaveCase{8, 36, 67},
                                         WaveCase{58, 240, 67},
                                         WaveCase{295, 1209, 2}),
                         [](const auto& info) {
                           return std::to_string(info.param.hosts) + "_hosts";
                         });

std::vector<CrashCase> CrashCases() {
  std::vector<CrashCase> cases;
  for (const std::size_t hosts : {8, 58, 295}) {
    const std::string size = std::to_string(hosts) + "_hosts_";
    const auto add = [&](const std::string& name, double loss_rate,
                         std::function<void(CrashSimulation&)> inject_faults) {
      cases.push_back({.name = size + name,
                       .hosts = hosts,
                       .loss_rate = loss_rate,
                       .inject_faults = std::move(inject_faults)});
    };
    add("no_faults", 0, [](CrashSimulation&) {});
    add("a_fifth_of_datagrams_lost", 0.2, [](CrashSimulation&) {});
    add("a_third_restarted", 0, [](CrashSimulation& simulation) {
      for (std::size_t index = 0; index < simulation.Hosts().Size();
           index += 3) {
        simulation.Restart(index);
      }
    });
    add("a_quarter_disconnected", 0.05, [](CrashSimulation& simulation) {
      for (std::size_t index = 0; index < simulation.Hosts().Size();
           index += 4) {
        simulation.Disconnect(index, seconds(5));
      }
    });
    add("a_quarter_paused", 0.05, [](CrashSimulation& simulation) {
      for (std::size_t index = 1; index < simulation.Hosts().Size();
           index += 4) {
        simulation.Pause(index, seconds(5));
      }
    });
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(All,
                         CrashBroadcastTable,
                         testing::ValuesIn(CrashCases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::peer_updates
