#include "medlarcroft/decision/placement.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::decision {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};

TargetState MakeTarget(std::uint32_t own, std::uint32_t reported_by_others) {
  TargetState target;
  target.config = {.slots = 8, .share = 4};
  target.usable = 4;
  target.outstanding = own;
  target.reported_by_others = reported_by_others;
  target.reported_at = kNow;
  return target;
}

TEST(PlacementScore, UsesReportOnlyWhileFresh) {
  TargetState target = MakeTarget(2, 4);
  const double fresh = PlacementScore(target, 1.0, kNow);
  const double old =
      PlacementScore(target, 1.0, kNow + std::chrono::seconds(3));
  target.reported_at.reset();
  const double never = PlacementScore(target, 1.0, kNow);

  EXPECT_DOUBLE_EQ(fresh, 7.0 / 8.0);
  EXPECT_DOUBLE_EQ(old, never);
  EXPECT_DOUBLE_EQ(never, 5.0 / 8.0);
}

TEST(PlacementScore, LimitsReportedLoadToSlotsHeldByOthers) {
  EXPECT_DOUBLE_EQ(PlacementScore(MakeTarget(0, 1000), 1.0, kNow),
                   PlacementScore(MakeTarget(0, 4), 1.0, kNow));
}

TEST(PlacementScore, SlowTargetScoresWorseWithinLimits) {
  const TargetState target = MakeTarget(1, 0);
  EXPECT_GT(PlacementScore(target, 2.0, kNow),
            PlacementScore(target, 1.0, kNow));
  EXPECT_DOUBLE_EQ(PlacementScore(target, 50.0, kNow),
                   PlacementScore(target, 4.0, kNow));
}

// A target fails, is ejected and restarted, and is probed at a time of low
// load, when the other targets are idle. If its one usable slot and its latency
// from before the ejection made it look busier than an idle target, it would
// get no probe requests and stay ejected permanently.
TEST(PlacementScore, ProbedTargetScoresLikeAnIdleTarget) {
  TargetState probed = MakeTarget(0, 0);
  probed.health.Eject(kNow);
  ASSERT_TRUE(probed.health.Update(kNow + std::chrono::minutes(2)));
  ASSERT_EQ(probed.health.State(), HealthState::kProbing);
  probed.usable = 1;

  EXPECT_LE(PlacementScore(probed, 4.0, kNow),
            PlacementScore(MakeTarget(0, 0), 1.0, kNow));
  EXPECT_LT(PlacementScore(probed, 4.0, kNow),
            PlacementScore(MakeTarget(1, 0), 1.0, kNow));
}

class PlacementTest : public ::testing::TestWithParam<PlacementKind> {};

TEST_P(PlacementTest, UsesEveryTargetWithinItsSlots) {
  std::vector<TargetConfig> configs;
  for (const char* name : {"a", "b", "c", "d"}) {
    configs.push_back({.name = TargetName(name), .slots = 3, .share = 3});
  }
  TargetTable table;
  table.Configure(std::vector<ServiceTargets>{{.targets = configs}},
                  Duration(0), kNow);
  fakes::SeededRandom random(1);
  const auto placement = MakePlacementStrategy(GetParam());

  std::map<TargetIndex, int> taken;
  while (!table.Available(0).empty()) {
    const TargetIndex target =
        placement->Choose(table.Available(0), table, kNow, random);
    ASSERT_TRUE(table.TryTake(target, 0, kNow));
    ++taken[target];
  }

  ASSERT_EQ(taken.size(), 4U);
  for (const auto& [target, count] : taken)
    EXPECT_EQ(count, 3);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds,
    PlacementTest,
    ::testing::Values(PlacementKind::kPowerOfTwoChoices,
                      PlacementKind::kOptimisticPowerOfTwoChoices,
                      PlacementKind::kRandom,
                      PlacementKind::kRoundRobin,
                      PlacementKind::kLeastReportedLoad));

}  // namespace
}  // namespace medlarcroft::decision
