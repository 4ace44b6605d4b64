#include "medlarcroft/request_path/region_balance.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include "medlarcroft/request_path/region_plan.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RegionName kFull("full");
const RegionName kIdle("idle");
constexpr ShiftLimit kLimit{.fraction = 0.15, .window = seconds(2)};
constexpr double kManyRequests = 600;  ///< Per second, of a region's callers.

struct RateCase {
  double requests_per_window;
  double least;
  double most;
};

class MaxBalancingShiftTest : public testing::TestWithParam<RateCase> {};

// Guards against a planned shift that exceeds the limit together with the
// random changes of few requests.
TEST_P(MaxBalancingShiftTest, LeavesRoomForChance) {
  const RateCase& tested = GetParam();
  const double rate = MaxBalancingShift(kLimit, tested.requests_per_window);
  EXPECT_GE(rate, tested.least);
  EXPECT_LE(rate, tested.most);
  const double deviation =
      std::sqrt(0.5 / std::max(1.0, tested.requests_per_window));
  if (rate > 0) {
    EXPECT_LE(rate * ToSeconds(kLimit.window) + 5 * deviation,
              kLimit.fraction + 1e-9);
  }
}

INSTANTIATE_TEST_SUITE_P(All,
                         MaxBalancingShiftTest,
                         testing::Values(RateCase{0, 0, 0},
                                         RateCase{140, 0, 0},
                                         RateCase{1300, 0.02, 0.03},
                                         RateCase{1e6, 0.029, 0.0301}));

struct TransferCase {
  std::map<RegionName, double> shares;
  RegionUtilization utilization;
  bool moves;
};

class FindTransferTest : public testing::TestWithParam<TransferCase> {};

TEST_P(FindTransferTest, MovesFromAFullRegionToOneWithRoom) {
  const auto transfer = FindTransfer(GetParam().shares, GetParam().utilization);
  ASSERT_EQ(transfer.has_value(), GetParam().moves);
  if (transfer) {
    EXPECT_EQ(transfer->from, kFull);
    EXPECT_EQ(transfer->to, kIdle);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    FindTransferTest,
    testing::Values(
        TransferCase{{{kFull, 1.0}}, {{kFull, 1.6}, {kIdle, 0.4}}, true},
        TransferCase{{{kFull, 1.0}}, {{kFull, 0.8}, {kIdle, 0.1}}, false},
        TransferCase{{{kFull, 1.0}}, {{kFull, 1.6}, {kIdle, 1.5}}, false},
        // No recent report of the region with room: a small share finds out.
        TransferCase{{{kFull, 1.0}, {kIdle, 0.0}}, {{kFull, 1.6}}, true},
        TransferCase{{{kFull, 0.97}, {kIdle, 0.03}}, {{kFull, 1.6}}, false},
        TransferCase{{{kFull, 1.0}, {kIdle, 0.0}}, {}, false},
        // The full region gets no planned requests.
        TransferCase{{{kIdle, 1.0}}, {{kFull, 1.6}, {kIdle, 0.4}}, false}));

/// @brief Two regions whose callers' plans move by utilization reports that are
/// 600 ms old.
class TwoRegions {
 public:
  explicit TwoRegions(const ShiftLimit& limit)
      : plans_{RegionPlan(kFull, OptionsWith(limit)),
               RegionPlan(kIdle, OptionsWith(limit))} {}

  /// @return the fraction of the demand that finds no slot.
  double Run(double full_demand, double idle_demand, Duration length) {
    constexpr Duration kStep = milliseconds(200);
    constexpr std::size_t kDelaySteps = 3;
    double offered = 0;
    double unserved = 0;
    for (Duration passed{0}; passed < length; passed += kStep) {
      now_ += kStep;
      RegionUtilization utilization{{kFull, 0}, {kIdle, 0}};
      for (std::size_t i = 0; i < plans_.size(); ++i) {
        plans_[i].Advance(slots_, now_);
        for (const auto& [region, share] : plans_[i].Shares()) {
          utilization[region] +=
              (i == 0 ? full_demand : idle_demand) * share / slots_.at(region);
        }
      }
      for (const auto& [region, value] : utilization) {
        offered += value * slots_.at(region);
        unserved += std::max(0.0, value - 1.0) * slots_.at(region);
      }
      reports_.push_back(utilization);
      if (reports_.size() > kDelaySteps) {
        reports_.pop_front();
      }
      for (RegionPlan& plan : plans_) {
        plan.Balance(reports_.front(), kManyRequests, now_);
      }
    }
    return unserved / offered;
  }

 private:
  static RegionPlanOptions OptionsWith(const ShiftLimit& limit) {
    return {.max_shift_per_second = 0.0075, .balancing = limit};
  }

  RegionSlots slots_{{kFull, 100}, {kIdle, 100}};
  std::vector<RegionPlan> plans_;
  std::deque<RegionUtilization> reports_;
  MonotonicTime now_{std::chrono::hours(1)};
};

// Guards against callers who are refused in one region for as long as its wave
// of demand lasts, while the slots of another region are free.
TEST(RegionBalanceTest, WaveIsServedByTheRegionWithRoom) {
  const double balanced = TwoRegions(kLimit).Run(160, 40, seconds(18));
  const double unbalanced = TwoRegions(ShiftLimit{}).Run(160, 40, seconds(18));
  EXPECT_LT(balanced, 0.6 * unbalanced);
}

// Guards against moved requests that fill the other region when its own demand
// rises.
TEST(RegionBalanceTest, RequestsReturnWhenTheOtherRegionFills) {
  TwoRegions regions(kLimit);
  (void)regions.Run(160, 40, seconds(18));
  (void)regions.Run(60, 120, seconds(12));
  EXPECT_LT(regions.Run(60, 120, seconds(6)), 0.05);
}

}  // namespace
}  // namespace medlarcroft::request_path
