#include "medlarcroft/decision/target_table.h"

#include <gtest/gtest.h>

#include <vector>

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr Duration kRamp = seconds(10);

TargetConfig Target(const char* name, std::uint32_t slots) {
  return {.name = TargetName(name), .slots = slots, .share = slots};
}

TEST(TargetTable, ATargetThatJoinsARunningServiceRampsUp) {
  TargetTable table;
  std::vector<TargetConfig> targets{Target("a", 8)};
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kRamp,
                  kNow);
  EXPECT_EQ(table.UsableSlots(0), 8U);

  targets.push_back(Target("b", 8));
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kRamp,
                  kNow);
  EXPECT_EQ(table.UsableSlots(0), 9U);

  table.Advance(kNow + seconds(5));
  EXPECT_EQ(table.UsableSlots(0), 12U);
  table.Advance(kNow + seconds(10));
  EXPECT_EQ(table.UsableSlots(0), 16U);
}

TEST(TargetTable, UsableSlotsFallWhenALeaseEnds) {
  TargetTable table;
  std::vector<TargetConfig> targets{Target("a", 4), Target("b", 4)};
  targets[1].share_lease_until = kNow + seconds(3);
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kRamp,
                  kNow);
  EXPECT_EQ(table.NextChange(), kNow + seconds(3));

  table.Advance(kNow + seconds(3));

  EXPECT_EQ(table.UsableSlots(0), 4U);
  EXPECT_EQ(table.RuleOf(1, kNow + seconds(3)), TargetUsageRule::kLeaseExpired);
}

// The caller sees: short look-ups are served while long reads fill the same
// target. In order: long work asks for all eight slots and gets six. Why: a
// slot held for 400 ms cannot be taken back when a look-up of 20 ms arrives.
TEST(TargetTable, LongWorkLeavesSlotsToShortWork) {
  TargetTable table;
  const std::vector<TargetConfig> targets{Target("a", 8)};
  table.Configure(
      std::vector<ServiceTargets>{{.service = 0,
                                   .expected_service_time = milliseconds(20),
                                   .targets = targets},
                                  {.service = 1,
                                   .expected_service_time = milliseconds(400),
                                   .targets = targets}},
      kRamp, kNow);

  int taken = 0;
  while (!table.Available(1).empty()) {
    ASSERT_TRUE(table.TryTake(0, 1, kNow));
    ++taken;
  }

  EXPECT_EQ(taken, 6);
  EXPECT_EQ(table.Available(0).size(), 1U);
}

TEST(TargetTable, EjectsAtMostAThird) {
  TargetTable table;
  std::vector<TargetConfig> targets;
  for (const char* name : {"a", "b", "c", "d", "e", "f"}) {
    targets.push_back(Target(name, 2));
  }
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kRamp,
                  kNow);

  for (TargetIndex target = 0; target < targets.size(); ++target) {
    for (int i = 0; i < 5; ++i)
      table.At(target).health.OnFailure();
    table.EjectIfOutlier(target, kNow);
  }

  EXPECT_EQ(table.UsableSlots(0), 8U);
}

TEST(TargetTable, ARemovedTargetIsForgottenOnceItsWorkHasEnded) {
  TargetTable table;
  const std::vector<TargetConfig> targets{Target("a", 2)};
  table.Configure(std::vector<ServiceTargets>{{.targets = targets}}, kRamp,
                  kNow);
  ASSERT_TRUE(table.TryTake(0, 0, kNow));

  table.Configure(std::vector<ServiceTargets>{{}}, kRamp, kNow);
  EXPECT_TRUE(table.Find(TargetName("a")).has_value());
  table.Release(0, 0, kNow);
  table.Configure(std::vector<ServiceTargets>{{}}, kRamp, kNow);

  EXPECT_FALSE(table.Find(TargetName("a")).has_value());
  EXPECT_EQ(table.UsableSlots(0), 0U);
}

}  // namespace
}  // namespace medlarcroft::decision
