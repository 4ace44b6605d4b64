#include "medlarcroft/decision/target_table.h"

#include <gtest/gtest.h>

#include <vector>

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr Duration kColdRamp = seconds(10);

TargetConfig MakeTarget(const char* name, std::uint32_t slots) {
  return {.name = TargetName(name), .slots = slots, .share = slots};
}

TEST(TargetTable, TargetThatJoinsARunningServiceRampsUp) {
  TargetTable table;
  std::vector<TargetConfig> targets{MakeTarget("a", 8)};
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kColdRamp,
                  kNow);
  EXPECT_EQ(table.UsableSlots(0), 8U);

  targets.push_back(MakeTarget("b", 8));
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kColdRamp,
                  kNow);
  EXPECT_EQ(table.UsableSlots(0), 9U);

  table.Advance(kNow + seconds(5));
  EXPECT_EQ(table.UsableSlots(0), 12U);
  table.Advance(kNow + seconds(10));
  EXPECT_EQ(table.UsableSlots(0), 16U);
}

TEST(TargetTable, UsableSlotsDropWhenALeaseExpires) {
  TargetTable table;
  std::vector<TargetConfig> targets{MakeTarget("a", 4), MakeTarget("b", 4)};
  targets[1].share_lease_until = kNow + seconds(3);
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kColdRamp,
                  kNow);
  EXPECT_EQ(table.NextChange(), kNow + seconds(3));

  table.Advance(kNow + seconds(3));

  EXPECT_EQ(table.UsableSlots(0), 4U);
  EXPECT_EQ(table.RuleOf(1, kNow + seconds(3)), TargetUsageRule::kLeaseExpired);
}

// Long-running requests of 400 ms could occupy all eight slots of a target, and
// slots cannot be taken back when a short request of 20 ms arrives. They must
// therefore get only six slots.
TEST(TargetTable, LongRequestsLeaveSlotsToShortRequests) {
  TargetTable table;
  const std::vector<TargetConfig> targets{MakeTarget("a", 8)};
  table.Configure(
      std::vector<ServiceTargets>{{.service = 0,
                                   .expected_service_time = milliseconds(20),
                                   .targets = targets},
                                  {.service = 1,
                                   .expected_service_time = milliseconds(400),
                                   .targets = targets}},
      kColdRamp, kNow);

  int taken = 0;
  while (!table.Available(1).empty()) {
    ASSERT_TRUE(table.TryTake(0, 1, kNow));
    ++taken;
  }

  EXPECT_EQ(taken, 6);
  EXPECT_EQ(table.Available(0).size(), 1U);
}

TEST(TargetTable, EjectsAtMostAThirdOfTheTargets) {
  TargetTable table;
  std::vector<TargetConfig> targets;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    targets.push_back(MakeTarget(name, 2));
  }
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kColdRamp,
                  kNow);

  for (TargetIndex target = 0; target < targets.size(); ++target) {
    for (int i = 0; i < 5; ++i)
      table.At(target).health.OnFailure();
    table.EjectIfOutlier(target, kNow);
  }

  EXPECT_EQ(table.UsableSlots(0), 8U);
}

TEST(TargetTable, RemovedTargetIsErasedOnceItsRequestsHaveEnded) {
  TargetTable table;
  const std::vector<TargetConfig> targets{MakeTarget("a", 2)};
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kColdRamp,
                  kNow);
  ASSERT_TRUE(table.TryTake(0, 0, kNow));

  table.Configure(std::vector<ServiceTargets>{{}}, kColdRamp, kNow);
  EXPECT_TRUE(table.Find(TargetName("a")).has_value());
  table.Release(0, 0, kNow);
  table.Configure(std::vector<ServiceTargets>{{}}, kColdRamp, kNow);

  EXPECT_FALSE(table.Find(TargetName("a")).has_value());
  EXPECT_EQ(table.UsableSlots(0), 0U);
}

}  // namespace
}  // namespace medlarcroft::decision
