#include "medlarcroft/request_path/placement_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const RegionName kNear("near");
const RegionName kFar("far");

class PlacementTest : public testing::Test {
 protected:
  PlacementTest() {
    distances_.OnConnected(kNear, milliseconds(1));
    distances_.OnConnected(kFar, milliseconds(100));
  }

  TargetState& Add(std::string_view id,
                   const RegionName& region,
                   std::uint32_t slots = 3) {
    targets_.push_back(std::make_unique<TargetState>(
        TargetRecord{.id = TargetName(id), .slots = slots}, region));
    pointers_.push_back(targets_.back().get());
    return *targets_.back();
  }

  std::optional<Placement> Choose(std::string_view object) {
    return ChooseTarget(GroupByRegion(pointers_),
                        {.object = ObjectKey(object),
                         .is_sticky = true,
                         .times = times_,
                         .distances = distances_,
                         .loads = loads_,
                         .cold_allowance = 1,
                         .excluded = excluded_,
                         .allowed_regions = allowed_,
                         .options = options_},
                        kStart);
  }

  /// @return an object whose order the first target leads.
  std::string ObjectOfFirst() {
    int number = 0;
    while (true) {
      std::string object = std::to_string(number++);
      const auto first = std::ranges::max_element(
          pointers_, {}, [&](const TargetState* target) {
            return target->OrderOf(ObjectKey(object));
          });
      if (first == pointers_.begin()) {
        return object;
      }
    }
  }

  RegionDistances distances_{kNear};
  RegionLoad loads_;
  PlacementOptions options_;
  ServiceTimes times_{milliseconds(600)};
  std::vector<std::unique_ptr<TargetState>> targets_;
  std::vector<TargetState*> pointers_;
  std::vector<TargetIdentity> excluded_;
  std::vector<RegionName> allowed_;
};

TEST_F(PlacementTest, NoTargetNoPlacement) {
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, AnObjectKeepsItsTargetWhileThatHasRoom) {
  for (int i = 0; i < 5; ++i) {
    Add("t" + std::to_string(i), kNear, 7);
  }
  const Placement first = *Choose("object");
  first.target->OnSent(ObjectKey("object"), kStart);

  for (int i = 0; i < 3; ++i) {
    const Placement next = *Choose("object");
    EXPECT_EQ(next.target, first.target);
    EXPECT_TRUE(next.is_warm);
    next.target->OnSent(ObjectKey("object"), kStart);
  }
}

// A region has filled up since its targets last told this host anything, but
// for one that has just answered. A request that could go there must not take
// the others for empty: it would wait behind what all other hosts sent.
TEST_F(PlacementTest, OneReportTellsOfTheTargetsBesideIt) {
  TargetState& near = Add("near-1", kNear, 3);
  near.OnReport({.running = 2, .slots = 3}, kStart);
  loads_.OnReport(kNear, 2, kStart);
  for (int i = 0; i < 4; ++i) {
    Add("far-" + std::to_string(i), kFar, 3)
        .OnReport({.running = 0, .slots = 3}, kStart - seconds(6));
  }
  EXPECT_EQ(Choose("object")->target->Region(), kNear);
  loads_.OnReport(kFar, 12, kStart);
  const Placement chosen = *Choose("object");
  EXPECT_EQ(chosen.target->Region(), kNear);

  excluded_.push_back({TargetName("near-1")});
  EXPECT_GT(Choose("object")->expected_wait, milliseconds(100));
}

TEST(RegionLoadTest, FollowsReportsOfTheLastSecond) {
  RegionLoad loads;
  EXPECT_FALSE(loads.MeanOf(kNear));
  loads.OnReport(kNear, 0, kStart);
  EXPECT_EQ(loads.MeanOf(kNear), 0.0);
  for (int i = 1; i <= 30; ++i) {
    loads.OnReport(kNear, 9, kStart + milliseconds(100 * i));
  }
  EXPECT_GT(*loads.MeanOf(kNear), 8.0);
  EXPECT_FALSE(loads.MeanOf(kFar));
}

// All targets are full and one request is for an object that the first of them
// has. Waiting there a little is dearer for its caller than cold work in a slot
// that has just come free, and cheaper for all others together: run without the
// object the request holds that slot three times as long.
TEST_F(PlacementTest, AFullServiceKeepsObjectsWhereTheyAre) {
  for (int i = 0; i < 4; ++i) {
    TargetState& target = Add("t" + std::to_string(i), kNear, 3);
    target.OnReport({.running = 3, .waiting = i == 0 ? 4U : 0U, .slots = 3},
                    kStart);
    target.OnSentByOtherHost(ObjectKey("some other object"));
  }
  const std::string object = ObjectOfFirst();
  targets_[0]->OnSentByOtherHost(ObjectKey(object));
  options_.slot_cost_weight = 0;
  EXPECT_NE(Choose(object)->target, targets_[0].get());
  options_.slot_cost_weight = PlacementOptions().slot_cost_weight;
  EXPECT_EQ(Choose(object)->target, targets_[0].get());
}

TEST_F(PlacementTest, ObjectsSpreadOverAllTargets) {
  for (int i = 0; i < 6; ++i) {
    Add("t" + std::to_string(i), kNear);
  }
  std::set<const TargetState*> used;
  for (int object = 0; object < 60; ++object) {
    used.insert(Choose(std::to_string(object))->target);
  }
  EXPECT_EQ(used.size(), 6U);
}

// One object is asked for far more often than a target's slots bear. Its
// callers must not wait at the one that has it for longer than another one,
// idle and without the object, would take.
TEST_F(PlacementTest, APopularObjectSpillsToOtherTargets) {
  for (int i = 0; i < 4; ++i) {
    Add("t" + std::to_string(i), kNear);
  }
  const Duration idle_and_cold =
      distances_.RoundTrip(kNear) + times_.Work(false);
  std::set<const TargetState*> used;
  for (int i = 0; i < 24; ++i) {
    const Placement placement = *Choose("popular");
    if (used.size() < 4) {
      EXPECT_LE(placement.expected, idle_and_cold);
    }
    placement.target->OnSent(ObjectKey("popular"), kStart);
    used.insert(placement.target);
  }
  EXPECT_EQ(used.size(), 4U);
}

TEST_F(PlacementTest, TheNearRegionIsTakenUnlessItsWaitIsLongerThanTheWay) {
  TargetState& near = Add("near", kNear);
  Add("far", kFar);
  EXPECT_EQ(Choose("x")->target, &near);

  for (int i = 0; i < 9; ++i) {
    near.OnSent(ObjectKey("y"), kStart);
  }
  EXPECT_EQ(Choose("x")->target->Region(), kFar);
}

TEST_F(PlacementTest, OnlyAllowedRegionsAndTargetsNotYetTried) {
  Add("near", kNear);
  Add("far", kFar);
  allowed_ = {kFar};
  EXPECT_EQ(Choose("x")->target->Region(), kFar);
  excluded_ = {{TargetName("far")}};
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, AColdTargetGetsNoMoreThanItsAllowance) {
  TargetState& cold = Add("cold", kNear);
  cold.MarkCold(kStart + seconds(3));

  ASSERT_TRUE(Choose("x"));
  cold.OnSent(ObjectKey("x"), kStart);
  EXPECT_FALSE(Choose("x"));
}

TEST_F(PlacementTest, ATargetThatFailsTwiceRestsAndIsTriedWithOneRequest) {
  TargetState& target = Add("t", kNear);
  for (int i = 0; i < 2; ++i) {
    target.OnSent(ObjectKey("x"), kStart);
    target.OnEnded(AttemptEnd::kNeverSent, std::nullopt, kStart);
  }
  EXPECT_TRUE(target.IsResting(kStart));
  EXPECT_FALSE(Choose("x"));

  const MonotonicTime later = kStart + seconds(1);
  EXPECT_FALSE(target.IsResting(later));
  target.OnSent(ObjectKey("x"), later);
  EXPECT_TRUE(target.IsResting(later));
  target.OnEnded(AttemptEnd::kAnswered, 1.0, later);
  EXPECT_FALSE(target.IsResting(later));
}

TEST_F(PlacementTest, ASlowTargetGetsLess) {
  TargetState& slow = Add("slow", kNear);
  TargetState& good = Add("good", kNear);
  for (int i = 0; i < 20; ++i) {
    slow.OnSent(ObjectKey(""), kStart);
    slow.OnEnded(AttemptEnd::kAnswered, 5.0, kStart);
  }
  for (int object = 0; object < 20; ++object) {
    EXPECT_EQ(Choose(std::to_string(object))->target, &good);
  }
}

TEST_F(PlacementTest, OtherHostsWorkCountsThroughReportsAndFades) {
  TargetState& target = Add("t", kNear);
  target.OnReport({.running = 3, .waiting = 4, .slots = 3}, kStart);

  EXPECT_NEAR(target.EstimatedLoad({}, 0.5, kStart), 7.0, 0.01);
  EXPECT_LT(target.EstimatedLoad({}, 0.5, kStart + seconds(2)), 3.0);
}

// A target fails at once whatever it is asked, and so looks free. Callers must
// not be drawn there: after some bad answers in a row it rests, and one that
// fails a part of its requests keeps its objects.
TEST_F(PlacementTest, ATargetThatOnlyFailsRestsAndOneThatFailsAPartDoesNot) {
  TargetState& failing = Add("failing", kNear);
  TargetState& shedding = Add("shedding", kNear);
  for (int i = 0; i < 30; ++i) {
    failing.OnSent(ObjectKey(""), kStart);
    failing.OnEnded(AttemptEnd::kTargetFailed, std::nullopt, kStart);
    shedding.OnSent(ObjectKey(""), kStart);
    shedding.OnEnded(i % 2 == 0 ? AttemptEnd::kNotRun : AttemptEnd::kAnswered,
                     std::nullopt, kStart);
  }

  EXPECT_TRUE(failing.IsResting(kStart));
  EXPECT_FALSE(shedding.IsResting(kStart));
  for (const std::string_view object : {"p", "q", "r", "s", "t", "u"}) {
    EXPECT_EQ(Choose(object)->target, &shedding);
  }
}

}  // namespace
}  // namespace medlarcroft::request_path
