#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "fakes/seeded_random.h"
#include "medlarcroft/membership/sharing_hosts.h"
#include "medlarcroft/request_path/retry_budget_share.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RetryLimit kRetries{.ratio = 0.2, .fixed = 56, .window = seconds(10)};
constexpr double kColdPerSecond = 21.5;
constexpr Duration kColdWindow = milliseconds(1200);
constexpr Duration kInTouchAfter = seconds(4);
constexpr Duration kStep = milliseconds(50);
constexpr MonotonicTime kBegin{std::chrono::hours(1)};

struct Host {
  membership::SharingHosts sharing;
  RetryBudgetShare retries{kRetries};
  std::deque<MonotonicTime> cold_sends;
  membership::HostListView view{};
  bool has_row = false;
  bool is_cut_off = false;  ///< From the store.
};

/// @brief Hosts whose requests all want a retry, and which all prefer one cold
/// target.
class World {
 public:
  World(std::size_t hosts, int requests_per_step)
      : requests_per_step_(requests_per_step) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.push_back({.sharing = Begin(), .has_row = true});
    }
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
    for (int i = 0; i < requests_per_step_; ++i) {
      Serve(hosts_[random_.NextBelow(hosts_.size())]);
    }
    Forget(requests_, kRetries.window);
    Forget(retries_, kRetries.window);
    Forget(cold_sends_, seconds(1));
  }

  void Check() const {
    ASSERT_LE(
        static_cast<double>(retries_.size()),
        kRetries.ratio * static_cast<double>(requests_.size()) + kRetries.fixed)
        << "at " << Second() << " s";
    ASSERT_LE(static_cast<double>(cold_sends_.size()), kColdPerSecond)
        << "at " << Second() << " s";
  }
  [[nodiscard]] std::size_t AllRetries() const { return all_retries_; }

 private:
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
    host.retries.OnRequest(now_);
    requests_.push_back(now_);
    if (host.retries.TryTake(share, now_)) {
      retries_.push_back(now_);
      ++all_retries_;
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
  const auto requests = static_cast<double>(60 * GetParam().requests_per_step *
                                            (seconds(1) / kStep));
  EXPECT_GT(static_cast<double>(world.AllRetries()),
            0.6 * kRetries.ratio * requests);
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

}  // namespace
}  // namespace medlarcroft::request_path
