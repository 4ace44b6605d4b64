#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/membership/sharing_hosts.h"
#include "medlarcroft/retries/retry_budget.h"

namespace medlarcroft::retries {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RetryLimit kRetries{.ratio = 0.2, .fixed = 56, .window = seconds(10)};
constexpr double kColdPerSecond = 21.5;
constexpr Duration kColdWindow = milliseconds(1200);
constexpr Duration kInTouchAfter = seconds(4);
constexpr Duration kStep = milliseconds(50);
constexpr std::ptrdiff_t kWindowSteps = kRetries.window / kStep;
constexpr MonotonicTime kBegin{std::chrono::hours(1)};

struct Host {
  membership::SharingHosts sharing;
  RetryBudget retries{{.limit = kRetries}};
  std::deque<MonotonicTime> cold_sends;
  membership::HostListView view{};
  bool has_row = false;
  bool is_cut_off = false;  ///< From the store.
};

/// @brief Requests that were sent and retries that were granted, of one step.
struct StepCounts {
  std::size_t requests = 0;
  std::size_t retries = 0;
};

/// @return the requests or retries in the steps from `begin` up to `end`, not
/// before the first.
std::size_t Sum(const std::vector<StepCounts>& steps,
                std::size_t StepCounts::*member,
                std::ptrdiff_t begin,
                std::ptrdiff_t end) {
  std::size_t sum = 0;
  for (std::ptrdiff_t i = std::max<std::ptrdiff_t>(begin, 0); i < end; ++i) {
    sum += steps[static_cast<std::size_t>(i)].*member;
  }
  return sum;
}

/// @brief Hosts whose requests all want a retry but in quiet times, and which
/// all prefer one cold target.
class World {
 public:
  World(std::size_t hosts, int requests_per_step)
      : requests_per_step_(requests_per_step), callers_use_{0, hosts} {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.push_back({.sharing = Begin(), .has_row = true});
    }
  }

  /// @param fraction of the requests that want a retry.
  void SetFailing(double fraction) { failing_ = fraction; }
  void SetBurst(int factor) {
    burst_ = factor;
    had_burst_ = true;
  }
  /// @brief From now on, callers use the hosts from `first` up to `end` only.
  void MoveCallers(std::size_t first, std::size_t end) {
    callers_use_ = {first, std::min(end, hosts_.size())};
  }

  void Restart(std::size_t first, std::size_t count) {
    for (std::size_t i = first; i < std::min(first + count, hosts_.size());
         ++i) {
      hosts_[i] = {.sharing = Begin(),
                   .has_row = hosts_[i].has_row,
                   .is_cut_off = hosts_[i].is_cut_off};
    }
  }
  void Join(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      hosts_.push_back({.sharing = Begin()});
    }
  }
  /// @brief The store is down and loses all rows.
  void LoseStore() {
    is_store_up_ = false;
    for (Host& host : hosts_) {
      host.has_row = false;
    }
  }
  void ReturnStore() { is_store_up_ = true; }
  void CutOff(std::size_t count, bool is_cut_off) {
    for (std::size_t i = 0; i < std::min(count, hosts_.size()); ++i) {
      hosts_[i].is_cut_off = is_cut_off;
    }
  }
  [[nodiscard]] std::size_t Size() const { return hosts_.size(); }
  [[nodiscard]] int Second() const {
    return static_cast<int>((now_ - kBegin) / seconds(1));
  }

  void Step() {
    now_ += kStep;
    for (Host& host : hosts_) {
      ReadList(host);
    }
    steps_.emplace_back();
    const auto [first, end] = callers_use_;
    for (int i = 0; i < requests_per_step_ * burst_; ++i) {
      Serve(hosts_[first + random_.NextBelow(end - first)]);
    }
    Forget(requests_, kRetries.window);
    Forget(retries_, kRetries.window);
    Forget(cold_sends_, seconds(1));
  }

  void Check() const {
    ASSERT_LE(static_cast<double>(retries_.size()),
              kRetries.ratio * static_cast<double>(CountedRequests()) +
                  kRetries.fixed)
        << "at " << Second() << " s";
    ASSERT_LE(static_cast<double>(cold_sends_.size()), kColdPerSecond)
        << "at " << Second() << " s";
  }
  [[nodiscard]] std::size_t AllRetries() const { return all_retries_; }
  [[nodiscard]] std::size_t AllWanted() const { return all_wanted_; }

 private:
  /// @return the requests of the window that ends now; where their rate
  /// changes, those of the window half a window or a window before, if they are
  /// more.
  [[nodiscard]] std::size_t CountedRequests() const {
    if (!had_burst_) {
      return requests_.size();
    }
    const auto end = static_cast<std::ptrdiff_t>(steps_.size());
    std::size_t most = 0;
    for (const std::ptrdiff_t back :
         {std::ptrdiff_t{0}, kWindowSteps / 2, kWindowSteps}) {
      most = std::max(most, Sum(steps_, &StepCounts::requests,
                                end - back - kWindowSteps, end - back));
    }
    return most;
  }
  [[nodiscard]] membership::SharingHosts Begin() const {
    return membership::SharingHosts(
        {.in_touch_after = kInTouchAfter, .started_at = now_});
  }
  void Forget(std::deque<MonotonicTime>& events, Duration window) const {
    while (!events.empty() && events.front() <= now_ - window) {
      events.pop_front();
    }
  }
  void ReadList(Host& host) {
    host.view.is_current = is_store_up_ && !host.is_cut_off;
    if (host.view.is_current) {
      const auto rows = static_cast<std::uint32_t>(
          std::ranges::count_if(hosts_, &Host::has_row));
      host.view.is_known = true;
      host.view.listed = rows + (host.has_row ? 0 : 1);
      host.view.listed_in_region = host.view.listed;
      if (!host.has_row) {
        host.has_row = true;
        host.view.row_written_at = now_;
      }
    }
    host.sharing.Update(host.view, now_);
  }
  void Serve(Host& host) {
    const membership::HostShare& share = host.sharing.Share();
    host.retries.OnEarned(now_);
    requests_.push_back(now_);
    ++steps_.back().requests;
    if (failing_ >= 1.0 || random_.NextUnit() < failing_) {
      ++all_wanted_;
      if (host.retries.TryTake(share, now_)) {
        retries_.push_back(now_);
        ++steps_.back().retries;
        ++all_retries_;
      }
    }
    Forget(host.cold_sends, kColdWindow);
    const auto limit =
        static_cast<std::size_t>(kColdPerSecond * share.Of(kColdWindow, now_));
    if (host.cold_sends.size() < limit) {
      host.cold_sends.push_back(now_);
      cold_sends_.push_back(now_);
    }
  }

  const int requests_per_step_;
  fakes::SeededRandom random_{11};
  MonotonicTime now_ = kBegin;
  std::vector<Host> hosts_;
  bool is_store_up_ = true;
  std::deque<MonotonicTime> requests_;
  std::deque<MonotonicTime> retries_;
  std::deque<MonotonicTime> cold_sends_;
  std::size_t all_retries_ = 0;
  std::size_t all_wanted_ = 0;
  std::vector<StepCounts> steps_;
  double failing_ = 1.0;
  int burst_ = 1;
  bool had_burst_ = false;
  std::pair<std::size_t, std::size_t> callers_use_;
};

struct SharesCase {
  std::string name;
  std::size_t hosts = 10;
  int requests_per_step = 20;  ///< Of all hosts together.
  /// Called at the begin of each second.
  std::function<void(World&, int second)> act;
};

void RestartAll(World& world, int second) {
  if (second == 20) {
    world.Restart(0, world.Size());
  }
}
void RestartInSeries(World& world, int second) {
  world.Restart(static_cast<std::size_t>(second) % world.Size(), 1);
}
void RestartAllInSeries(World& world, int second) {
  if (second >= 20 && second % 3 == 0) {
    world.Restart(0, world.Size());
  }
}
void RestartWithALapsedList(World& world, int second) {
  if (second == 19) {
    world.LoseStore();
  } else if (second == 21) {
    world.Restart(0, world.Size());
  } else if (second == 23) {
    world.ReturnStore();
  }
}
void RestartHalfWithALapsedListWhileOthersAreCutOff(World& world, int second) {
  if (second == 19) {
    world.CutOff(world.Size() / 2, true);
    world.LoseStore();
  } else if (second == 21) {
    world.Restart(0, world.Size());
  } else if (second == 23) {
    world.ReturnStore();
  } else if (second == 30) {
    world.CutOff(world.Size(), false);
  }
}
void LapseOnly(World& world, int second) {
  if (second == 20) {
    world.LoseStore();
  } else if (second == 25) {
    world.ReturnStore();
  }
}
void DoubleTheHosts(World& world, int second) {
  if (second == 20) {
    world.Join(world.Size());
  }
}
void Nothing(World& /*world*/, int /*second*/) {}
// Quiet until 20 s.
void FailAfterQuietTime(World& world, int second) {
  if (second == 0) {
    world.SetFailing(0);
  } else if (second == 20) {
    world.SetFailing(1);
  }
}
void RestartAllAfterQuietTime(World& world, int second) {
  FailAfterQuietTime(world, second);
  if (second == 21) {
    world.Restart(0, world.Size());
  }
}
void RestartAllAgainAndAgainAfterQuietTime(World& world, int second) {
  FailAfterQuietTime(world, second);
  if (second >= 21 && second % 2 == 1) {
    world.Restart(0, world.Size());
  }
}
void RestartInSeriesAmongQuietTimes(World& world, int second) {
  world.SetFailing(second % 15 < 8 ? 0 : 1);
  RestartInSeries(world, second);
}
void MoveCallersAfterQuietTime(World& world, int second) {
  FailAfterQuietTime(world, second);
  if (second == 21) {
    world.MoveCallers(0, world.Size() * 6 / 10);
  }
}
void MoveCallersInTurnAfterQuietTime(World& world, int second) {
  FailAfterQuietTime(world, second);
  const std::size_t group = world.Size() / 5;
  const std::size_t first = static_cast<std::size_t>(second / 2) % 5 * group;
  world.MoveCallers(first, first + group);
}
void BurstsAmongQuietTimes(World& world, int second) {
  world.SetFailing(second % 20 < 10 ? 0 : 1);
  world.SetBurst(second % 20 >= 8 && second % 20 < 12 ? 3 : 1);
}
void RestartAllAndMoveCallersAfterABurst(World& world, int second) {
  BurstsAmongQuietTimes(world, second);
  if (second % 20 == 11) {
    world.Restart(0, world.Size());
  } else if (second % 20 == 13) {
    world.MoveCallers(world.Size() / 2, world.Size());
  } else if (second % 20 == 15) {
    world.Restart(world.Size() / 2, world.Size() / 2);
    world.MoveCallers(0, world.Size() / 2);
  } else if (second % 20 == 19) {
    world.MoveCallers(0, world.Size());
  }
}

class LimitShares : public testing::TestWithParam<SharesCase> {};

// Guards against limits that all hosts together exceed since some of them begin
// anew: they count too few hosts, or forget what they used before.
TEST_P(LimitShares, AreKeptByAllHostsTogether) {
  World world(GetParam().hosts, GetParam().requests_per_step);
  int second = -1;
  while (world.Second() < 60) {
    world.Step();
    if (world.Second() != second) {
      second = world.Second();
      GetParam().act(world, second);
    }
    world.Check();
    if (HasFatalFailure()) {
      return;
    }
  }
  // The limits are not kept by giving up retries.
  EXPECT_GT(static_cast<double>(world.AllRetries()),
            0.6 * kRetries.ratio * static_cast<double>(world.AllWanted()));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    LimitShares,
    testing::Values(
        SharesCase{.name = "nothing", .act = Nothing},
        SharesCase{.name = "all_restart", .act = RestartAll},
        SharesCase{.name = "restarts_in_series", .act = RestartInSeries},
        SharesCase{.name = "all_restart_in_series", .act = RestartAllInSeries},
        SharesCase{.name = "lapsed_list", .act = LapseOnly},
        SharesCase{.name = "restart_with_lapsed_list",
                   .act = RestartWithALapsedList},
        SharesCase{.name = "restart_with_lapsed_list_and_cut",
                   .act = RestartHalfWithALapsedListWhileOthersAreCutOff},
        SharesCase{.name = "hosts_double", .act = DoubleTheHosts},
        SharesCase{.name = "all_of_880_restart",
                   .hosts = 880,
                   .requests_per_step = 440,
                   .act = RestartAll},
        SharesCase{.name = "880_hosts_restart_with_lapsed_list",
                   .hosts = 880,
                   .requests_per_step = 440,
                   .act = RestartWithALapsedList}),
    [](const auto& info) { return info.param.name; });

constexpr std::size_t kFewHosts = 10;
constexpr std::size_t kManyHosts = 880;
constexpr int kRequestsOfFewHosts = 20;
constexpr int kRequestsOfManyHosts = 440;

std::vector<SharesCase> OfFewAndManyHosts(std::vector<SharesCase> cases) {
  const std::size_t count = cases.size();
  for (std::size_t i = 0; i < count; ++i) {
    cases[i].hosts = kFewHosts;
    cases[i].requests_per_step = kRequestsOfFewHosts;
    cases.push_back({.name = cases[i].name + "_of_880",
                     .hosts = kManyHosts,
                     .requests_per_step = kRequestsOfManyHosts,
                     .act = cases[i].act});
  }
  return cases;
}
const auto kNameOfCase = [](const auto& info) { return info.param.name; };

// Guards against processes that begin and earn again what the ones before them
// have spent.
INSTANTIATE_TEST_SUITE_P(
    RestartsAfterQuietTime,
    LimitShares,
    testing::ValuesIn(OfFewAndManyHosts({
        {.name = "no_restart", .act = FailAfterQuietTime},
        {.name = "all_restart", .act = RestartAllAfterQuietTime},
        {.name = "all_restart_in_series",
         .act = RestartAllAgainAndAgainAfterQuietTime},
        {.name = "restarts_in_series", .act = RestartInSeriesAmongQuietTimes},
        {.name = "bursts", .act = BurstsAmongQuietTimes},
        {.name = "all_restart_after_a_burst",
         .act = RestartAllAndMoveCallersAfterABurst},
    })),
    kNameOfCase);

// Guards against hosts that earn again what the hosts which their callers used
// before have spent.
INSTANTIATE_TEST_SUITE_P(CallersMoveAfterQuietTime,
                         LimitShares,
                         testing::ValuesIn(OfFewAndManyHosts({
                             {.name = "once", .act = MoveCallersAfterQuietTime},
                             {.name = "in_turn",
                              .act = MoveCallersInTurnAfterQuietTime},
                         })),
                         kNameOfCase);

}  // namespace
}  // namespace medlarcroft::retries
