#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "multi_region_simulation.h"

namespace medlarcroft::peer_updates {
namespace {

using request_path::LimitHosts;
using request_path::LimitReport;
using request_path::RateLimits;
using request_path::TargetNumber;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TargetNumber kTarget{7};
constexpr std::size_t kTargetRegion = 1;
constexpr Duration kInTouchAfter = seconds(4);
constexpr Duration kWindow = seconds(4);
// Time for a limit to reach the other hosts after its first answer.
constexpr Duration kPropagationTime = milliseconds(500);
// Time until an unreachable host is no longer considered live.
constexpr Duration kDetectionTime = kLivenessTimeout;

/// @brief Simulates a target that declares a rate limit, and hosts of three
/// regions whose combined demand for it exceeds the limit.
class LimitSimulation final : public UpdateListener {
 public:
  LimitSimulation(const MultiRegionSimulation::Options& options,
                  double limit,
                  double demand)
      : hosts_(options, *this), limit_(limit), demand_(demand) {
    for (std::size_t index = 0; index < options.hosts; ++index) {
      host_limits_.push_back(std::make_unique<HostLimits>(*this, index));
      Refresh(index);
    }
    hosts_.RunFor(seconds(3));
    for (std::size_t index = 0; index < options.hosts; ++index) {
      ScheduleRequests(index);
    }
    hosts_.RunFor(seconds(2));
    limited_since_ = hosts_.Now();
  }

  [[nodiscard]] MultiRegionSimulation& Hosts() { return hosts_; }

  void Restart(std::size_t index) {
    hosts_.Restart(index);
    host_limits_[index] = std::make_unique<HostLimits>(*this, index);
    MarkFault(index);
  }
  /// @brief Disconnects the host from all other hosts, but not from the target:
  /// its requests still count against the limit.
  void Disconnect(std::size_t index, Duration length) {
    hosts_.Disconnect(index);
    MarkReachabilityChange(index);
    hosts_.After(length, [this, index] {
      hosts_.Reconnect(index);
      MarkReachabilityChange(index);
    });
  }
  void Pause(std::size_t index, Duration length) {
    hosts_.Pause(index, length);
    MarkFault(index);
    hosts_.After(length, [this, index] { MarkFault(index); });
  }
  void EndLimit() { limited_since_.reset(); }

  /// @return the maximum number of requests in any `kWindow`. Counts only hosts
  /// that had received the limit `kPropagationTime` before and had neither
  /// restarted nor been paused for `kInTouchAfter`.
  [[nodiscard]] std::size_t MaxInWindow() const {
    std::size_t max_count = 0;
    std::deque<MonotonicTime> window;
    for (const Arrival& arrival : arrivals_) {
      if (!arrival.is_bound) {
        continue;
      }
      window.push_back(arrival.at);
      while (arrival.at - window.front() > kWindow) {
        window.pop_front();
      }
      max_count = std::max(max_count, window.size());
    }
    return max_count;
  }
  [[nodiscard]] std::size_t ArrivalsSince(MonotonicTime since) const {
    std::size_t count = 0;
    for (const Arrival& arrival : arrivals_) {
      count += arrival.at >= since ? 1 : 0;
    }
    return count;
  }

  void OnUpdateReceived(std::size_t host, const PeerUpdate& update) override {
    for (const LimitReport& report : update.limits) {
      host_limits_[host]->limits.OnReport(report, RegionName("1"),
                                          hosts_.Now());
    }
  }

 private:
  struct HostLimits final : public request_path::LimitObserver {
    HostLimits(LimitSimulation& simulation, std::size_t index)
        : simulation(simulation),
          index(index),
          limits({}, simulation.hosts_.Random()) {
      limits.Observe(this);
    }
    void OnPublish(const LimitReport& report) override {
      simulation.hosts_.At(index).BroadcastLimits(std::span(&report, 1));
    }
    void OnLimited(TargetNumber /*target*/,
                   double /*requests_per_second*/,
                   double /*own_rate*/) override {}
    void OnLifted(TargetNumber /*target*/) override {}

    LimitSimulation& simulation;
    std::size_t index;
    RateLimits limits;
    /// First answer to this host that declared the limit.
    std::optional<MonotonicTime> limited_at;
    MonotonicTime fault_at{};  ///< Start or end of the latest fault.
    /// Start or end of the latest period in which no other host could receive
    /// updates from this host.
    MonotonicTime reachability_changed_at{};
  };
  struct Arrival {
    MonotonicTime at;
    bool is_bound = false;
  };

  void MarkFault(std::size_t index) {
    host_limits_[index]->fault_at = hosts_.Now();
    MarkReachabilityChange(index);
  }
  void MarkReachabilityChange(std::size_t index) {
    host_limits_[index]->reachability_changed_at = hosts_.Now();
  }

  [[nodiscard]] bool IsLiveFor(std::size_t index, std::size_t other) const {
    if (index == other) {
      return true;
    }
    const bool is_undetected =
        hosts_.Now() - host_limits_[other]->reachability_changed_at <
            kDetectionTime ||
        hosts_.Now() - host_limits_[index]->reachability_changed_at <
            kDetectionTime;
    return is_undetected ||
           (!hosts_.IsDisconnected(index) && !hosts_.IsDisconnected(other) &&
            !hosts_.IsPaused(other));
  }

  void Refresh(std::size_t index) {
    hosts_.After(milliseconds(250), [this, index] { Refresh(index); });
    if (hosts_.IsPaused(index)) {
      return;
    }
    LimitHosts hosts{
        .own_hash = index + 1,
        .own_region = RegionName(std::to_string(hosts_.RegionOf(index))),
        .known_hosts = static_cast<std::uint32_t>(hosts_.Size())};
    hosts.known_in_region = 0;
    for (std::size_t other = 0; other < host_limits_.size(); ++other) {
      if (hosts_.RegionOf(other) != hosts_.RegionOf(index)) {
        continue;
      }
      ++hosts.known_in_region;
      if (IsLiveFor(index, other)) {
        hosts.live_in_region.push_back(other + 1);
      }
    }
    host_limits_[index]->limits.SetHosts(std::move(hosts), hosts_.Now());
    host_limits_[index]->limits.Advance(hosts_.Now());
    if (++refreshes_ % 4 == 0) {
      hosts_.At(index).BroadcastLimits(
          host_limits_[index]->limits.ReportsToRepeat(hosts_.Now()));
    }
  }

  /// @brief Schedules the host's requests to the target at random intervals.
  void ScheduleRequests(std::size_t index) {
    const double mean = static_cast<double>(hosts_.Size()) / demand_;
    hosts_.After(FromSeconds(2 * mean * hosts_.Random().NextUnit()),
                 [this, index] {
                   ScheduleRequests(index);
                   Send(index);
                 });
  }

  void Send(std::size_t index) {
    HostLimits& host = *host_limits_[index];
    const MonotonicTime now = hosts_.Now();
    if (hosts_.IsPaused(index) || !host.limits.AllowsSend(kTarget, now)) {
      return;
    }
    host.limits.OnSent(kTarget, now);
    const bool is_bound = host.limited_at &&
                          now - *host.limited_at >= kPropagationTime &&
                          now - host.fault_at > kInTouchAfter;
    arrivals_.push_back({.at = now, .is_bound = is_bound});
    hosts_.After(milliseconds(100), [this, index, now] { Answer(index, now); });
  }

  void Answer(std::size_t index, MonotonicTime sent_at) {
    if (hosts_.IsPaused(index)) {
      hosts_.After(milliseconds(100),
                   [this, index, sent_at] { Answer(index, sent_at); });
      return;
    }
    HostLimits& host = *host_limits_[index];
    std::optional<double> limit;
    if (limited_since_) {
      limit = limit_;
      host.limited_at = host.limited_at.value_or(hosts_.Now());
    }
    host.limits.OnAnswer(kTarget, RegionName(std::to_string(kTargetRegion)),
                         limit, sent_at, hosts_.Now());
  }

  MultiRegionSimulation hosts_;
  double limit_;
  double demand_;
  std::optional<MonotonicTime> limited_since_;
  std::vector<std::unique_ptr<HostLimits>> host_limits_;
  std::vector<Arrival> arrivals_;
  std::size_t refreshes_ = 0;
};

struct LimitCase {
  std::string name;
  std::size_t hosts;
  double limit;
  double loss_rate;
  std::function<void(LimitSimulation&)> inject_fault;
};

class LimitTable : public testing::TestWithParam<LimitCase> {
 protected:
  [[nodiscard]] static double Allowed() {
    return 1.5 * GetParam().limit * ToSeconds(kWindow) + 5;
  }
  /// @return the requests per second that all hosts would send without a limit.
  [[nodiscard]] static double Demand() {
    return 6 * GetParam().limit + 20 +
           0.7 * static_cast<double>(GetParam().hosts);
  }
};

// With a demand of at least six times the limit, the hosts together must
// neither exceed the limit nor leave most of it unused.
TEST_P(LimitTable, HostsTogetherRespectAndUseTheLimit) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    LimitSimulation simulation({.hosts = GetParam().hosts,
                                .loss_rate = GetParam().loss_rate,
                                .seed = seed},
                               GetParam().limit, Demand());
    simulation.Hosts().RunFor(seconds(5));
    GetParam().inject_fault(simulation);
    simulation.Hosts().RunFor(seconds(15));
    EXPECT_LE(static_cast<double>(simulation.MaxInWindow()), Allowed())
        << "seed " << seed;
    const MonotonicTime settled_at = simulation.Hosts().Now();
    simulation.Hosts().RunFor(seconds(10));
    EXPECT_GE(static_cast<double>(simulation.ArrivalsSince(settled_at)),
              0.4 * GetParam().limit * 10)
        << "seed " << seed;
  }
}

// Hosts must not keep applying a limit that has ended: those that share it
// detect the end and report it to the others.
TEST_P(LimitTable, AllHostsResumeSendingWhenTheLimitEnds) {
  LimitSimulation simulation(
      {.hosts = GetParam().hosts, .loss_rate = GetParam().loss_rate, .seed = 4},
      GetParam().limit, Demand());
  simulation.Hosts().RunFor(seconds(5));
  simulation.EndLimit();
  simulation.Hosts().RunFor(seconds(10));
  const MonotonicTime settled_at = simulation.Hosts().Now();
  simulation.Hosts().RunFor(seconds(5));
  EXPECT_GE(static_cast<double>(simulation.ArrivalsSince(settled_at)),
            0.8 * 5 * Demand());
}

std::vector<LimitCase> LimitCases() {
  std::vector<LimitCase> cases;
  for (const std::size_t hosts : {8, 58, 295}) {
    for (const double limit : {0.7, 4.5, 40.0}) {
      const std::string size = std::to_string(hosts) + "_hosts_" +
                               std::to_string(static_cast<int>(10 * limit)) +
                               "_per_10_s_";
      const auto add = [&](const std::string& name, double loss_rate,
                           std::function<void(LimitSimulation&)> inject_fault) {
        cases.push_back({.name = size + name,
                         .hosts = hosts,
                         .limit = limit,
                         .loss_rate = loss_rate,
                         .inject_fault = std::move(inject_fault)});
      };
      add("no_faults", 0, [](LimitSimulation&) {});
      add("fifth_of_datagrams_lost", 0.2, [](LimitSimulation&) {});
      add("quarter_restarted", 0.05, [](LimitSimulation& simulation) {
        for (std::size_t index = 0; index < simulation.Hosts().Size();
             index += 4) {
          simulation.Restart(index);
        }
      });
      add("quarter_disconnected", 0.05, [](LimitSimulation& simulation) {
        for (std::size_t index = 1; index < simulation.Hosts().Size();
             index += 4) {
          simulation.Disconnect(index, seconds(5));
        }
      });
      add("half_disconnected", 0.05, [](LimitSimulation& simulation) {
        for (std::size_t index = 1; index < simulation.Hosts().Size();
             index += 2) {
          simulation.Disconnect(index, seconds(10));
        }
      });
      add("quarter_paused", 0.05, [](LimitSimulation& simulation) {
        for (std::size_t index = 2; index < simulation.Hosts().Size();
             index += 4) {
          simulation.Pause(index, seconds(4));
        }
      });
    }
  }
  return cases;
}

INSTANTIATE_TEST_SUITE_P(All,
                         LimitTable,
                         testing::ValuesIn(LimitCases()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::peer_updates
