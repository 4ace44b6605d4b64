#include "medlarcroft/steering/shift_planner.h"

#include <gtest/gtest.h>

#include <cmath>

#include "fakes/manual_clock.h"
#include "unit/steering/steering_fixture.h"

namespace medlarcroft::steering {
namespace {

const ServiceName kLookupDesk("lookup-desk");
const FailureDomainName kHome("kg-nyarugenge");
const FailureDomainName kSibling("kg-kicukiro");
const FailureDomainName kRemote("hy-tumba");

/// Each of three domains has 20 slots of 20 ms, which serve 1,000 requests per
/// second; shifted work may fill 800 of them.
class ShiftPlannerTest : public ::testing::Test {
 protected:
  ShiftPlannerTest() {
    SetLoad(kHome, 500.0);
    SetLoad(kSibling, 500.0);
    SetLoad(kRemote, 500.0);
  }

  void SetLoad(const FailureDomainName& name, double demand) {
    const double carried = std::min(demand, 1000.0);
    loads_[name] = {.failure_domain = name,
                    .live_hosts = 2,
                    .loads = {{.service = kLookupDesk,
                               .demand_per_second = demand,
                               .outstanding = carried * 0.02,
                               .usable_slots = 20.0,
                               .refused_per_second = demand - carried}}};
  }

  void Drain(const FailureDomainName& name) { drained_ = name; }

  ShiftPlan Step(Duration duration = std::chrono::milliseconds(500)) {
    clock_.Advance(duration);
    fixture::CatalogueBuilder builder;
    builder.Add(catalogue::ServiceEntry{
        .service = kLookupDesk,
        .request_class = {.expected_service_time =
                              std::chrono::milliseconds(20)},
        .weights = weights_});
    builder.AddDomain(kHome.Value(), "kigali");
    builder.AddDomain(kSibling.Value(), "kigali");
    builder.AddDomain(kRemote.Value(), "huye");
    AddLinks(builder);
    if (!drained_.IsEmpty()) {
      builder.AddDrain(catalogue::DrainSubject::kFailureDomain,
                       drained_.Value());
    }

    std::vector<DomainLoad> domains;
    for (const auto& [name, load] : loads_) {
      domains.push_back(load);
    }
    const auto catalogue = builder.Build();
    return planner_.Plan({.catalogue = catalogue.get(),
                          .domains = domains,
                          .pending = pending_});
  }

  ShiftPlan Run(Duration duration) {
    ShiftPlan plan;
    for (Duration done = Duration::zero(); done < duration;
         done += std::chrono::milliseconds(500)) {
      plan = Step();
    }
    return plan;
  }

  static double Rate(const ShiftPlan& plan,
                     const FailureDomainName& from,
                     const FailureDomainName& to) {
    return plan.RateOf(kLookupDesk, from, to);
  }

  static ShiftBound BoundOf(const ShiftPlan& plan,
                            const FailureDomainName& to) {
    for (const PlannedShift& shift : plan.shifts) {
      if (shift.from == kHome && shift.to == to) {
        return shift.why.bound;
      }
    }
    return ShiftBound::kNone;
  }

  fakes::ManualClock clock_;
  ShiftPlanner planner_{clock_};
  std::map<FailureDomainName, DomainLoad> loads_;
  std::vector<PendingDemand> pending_;
  catalogue::ObjectiveWeights weights_;
  FailureDomainName drained_;
  double capacity_ = 400.0;

 private:
  void AddLinks(fixture::CatalogueBuilder& builder) const {
    const auto add = [&](const auto& from, const auto& to, int latency_ms) {
      for (const auto& [source, receiver] :
           {std::pair(from, to), std::pair(to, from)}) {
        builder.Add(catalogue::LinkEntry{
            .from = source,
            .to = receiver,
            .latency = std::chrono::milliseconds(latency_ms),
            .capacity = capacity_,
            .shift_step = 50.0,
            .shift_window = std::chrono::seconds(5)});
      }
    };
    add(kHome, kSibling, 1);
    add(kHome, kRemote, 55);
    add(kSibling, kRemote, 55);
  }
};

TEST_F(ShiftPlannerTest, PlansNothingWhileAllDomainsHaveCapacity) {
  EXPECT_TRUE(Run(std::chrono::seconds(60)).shifts.empty());
}

TEST_F(ShiftPlannerTest, GrowsByOneStepPerWindow) {
  SetLoad(kHome, 1400.0);
  SetLoad(kSibling, 0.0);  // Offers 200 per second while cold.

  EXPECT_EQ(Rate(Step(), kHome, kSibling), 50.0);
  EXPECT_EQ(Rate(Run(std::chrono::milliseconds(4500)), kHome, kSibling), 50.0);
  EXPECT_EQ(Rate(Step(), kHome, kSibling), 100.0);
}

TEST_F(ShiftPlannerTest, NeverExceedsLinkCapacity) {
  SetLoad(kHome, 3000.0);
  capacity_ = 120.0;

  const ShiftPlan plan = Run(std::chrono::seconds(60));

  EXPECT_EQ(Rate(plan, kHome, kSibling), 120.0);
  EXPECT_EQ(BoundOf(plan, kSibling), ShiftBound::kLinkCapacity);

  capacity_ = 60.0;  // Lowered by the operator: cut at once.
  EXPECT_EQ(Rate(Step(), kHome, kSibling), 60.0);
}

struct WeightCase {
  const char* name;
  catalogue::ObjectiveWeights weights;
  double demand;
  bool goes_near;
  bool goes_far;
};

class ObjectiveWeightsTest : public ShiftPlannerTest,
                             public ::testing::WithParamInterface<WeightCase> {
};

// The same load with different weights. Latency keeps work at home until a
// queue there costs more than the link; headroom levels the domains long
// before.
TEST_P(ObjectiveWeightsTest, WeightsDecideWhenAndHowFarLoadIsShifted) {
  weights_ = GetParam().weights;
  SetLoad(kHome, GetParam().demand);

  const ShiftPlan plan = Run(std::chrono::seconds(60));

  EXPECT_EQ(Rate(plan, kHome, kSibling) > 0.0, GetParam().goes_near);
  EXPECT_EQ(Rate(plan, kHome, kRemote) > 0.0, GetParam().goes_far);
}

INSTANTIATE_TEST_SUITE_P(
    ObjectiveWeights,
    ObjectiveWeightsTest,
    ::testing::Values(
        WeightCase{"LatencyBusy", {3, 1, 1}, 650, false, false},
        WeightCase{"LatencyFull", {3, 1, 1}, 960, true, false},
        WeightCase{"LatencyOverfull", {3, 1, 1}, 1500, true, true},
        WeightCase{"HeadroomBusy", {1, 3, 1}, 650, true, false},
        WeightCase{"HeadroomFull", {1, 3, 1}, 960, true, true},
        WeightCase{"NoWeights", {0, 0, 0}, 1500, true, true}),
    [](const auto& info) { return info.param.name; });

struct DrainStepCase {
  const char* name;
  catalogue::ObjectiveWeights weights;
  double rate;
};

class DrainStepTest : public ShiftPlannerTest,
                      public ::testing::WithParamInterface<DrainStepCase> {};

TEST_P(DrainStepTest, FollowsWeightOfDrainTime) {
  weights_ = GetParam().weights;
  Drain(kHome);

  EXPECT_NEAR(Rate(Step(), kHome, kSibling), GetParam().rate, 1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    ObjectiveWeights,
    DrainStepTest,
    ::testing::Values(DrainStepCase{"Largest", {1, 1, 3}, 50},
                      DrainStepCase{"Half", {2, 1, 1}, 25},
                      DrainStepCase{"Least", {9, 1, 0}, 12.5}),
    [](const auto& info) { return info.param.name; });

// An operator drains a domain. Callers move only once forwarding carries all of
// its demand; then the forwarded rate falls with the demand and the callers
// stay moved.
TEST_F(ShiftPlannerTest, CallersMoveOnceForwardingCarriesDrainedDomain) {
  SetLoad(kHome, 200.0);
  Drain(kHome);
  EXPECT_TRUE(Step().moves.empty());

  const ShiftPlan carried = Run(std::chrono::seconds(40));
  ASSERT_FALSE(carried.moves.empty());
  double moved = 0.0;
  for (const CallerMove& move : carried.moves) {
    moved += move.fraction;
  }
  EXPECT_NEAR(moved, 1.0, 1e-9);

  SetLoad(kHome, 0.0);
  const ShiftPlan empty = Run(std::chrono::seconds(30));
  EXPECT_EQ(empty.moves.size(), carried.moves.size());
  EXPECT_LT(Rate(empty, kHome, kSibling), 1.0);

  Drain(FailureDomainName());
  Run(std::chrono::seconds(30));
  EXPECT_NEAR(Step().moves.front().fraction, carried.moves.front().fraction / 2,
              0.02);
  EXPECT_TRUE(Run(std::chrono::seconds(60)).moves.empty());
}

// Measurements of the receiver stop arriving. Its offer must shrink with their
// age, whatever the source needs, and end before they are too old to rely on.
TEST_F(ShiftPlannerTest, ReceiverOffersLessAsItsMeasurementsAge) {
  SetLoad(kHome, 1400.0);
  double before = Rate(Run(std::chrono::seconds(60)), kHome, kSibling);
  ASSERT_GT(before, 200.0);

  for (int seconds = 4; seconds <= 12; ++seconds) {
    loads_[kSibling].age = std::chrono::seconds(seconds);
    const double rate = Rate(Step(), kHome, kSibling);
    EXPECT_LE(rate, before);
    before = rate;
  }
  EXPECT_EQ(before, 0.0);
  EXPECT_EQ(BoundOf(Step(), kSibling), ShiftBound::kReceiverStale);
}

// Look-up answers have sent callers to the sibling, but its measurements do not
// show them yet. Its spare slots must not be offered a second time.
TEST_F(ShiftPlannerTest, PendingDemandCountsAsReceiversDemand) {
  SetLoad(kHome, 1400.0);
  pending_ = {{kLookupDesk, kSibling, 780.0}};

  const ShiftPlan plan = Run(std::chrono::seconds(60));

  EXPECT_LE(Rate(plan, kHome, kSibling), 20.0);
  EXPECT_GT(Rate(plan, kHome, kRemote), 100.0);
}

// Demand returns to normal after a surge. The shift stays for the hold time and
// then returns step by step; a new surge in between restarts the hold time.
TEST_F(ShiftPlannerTest, ReturnsInStepsAfterHoldTime) {
  SetLoad(kHome, 1300.0);
  const double shifted = Rate(Run(std::chrono::seconds(60)), kHome, kSibling);

  SetLoad(kHome, 700.0);
  EXPECT_EQ(Rate(Run(std::chrono::seconds(29)), kHome, kSibling), shifted);
  double before = shifted;
  for (int step = 0; step < 200; ++step) {
    const double rate = Rate(Step(), kHome, kSibling);
    EXPECT_LE(before - rate, 50.0 + 1e-9);
    before = rate;
  }
  EXPECT_LT(before, shifted);
}

TEST_F(ShiftPlannerTest, TwoSourcesShareReceiversOffer) {
  SetLoad(kHome, 1500.0);
  SetLoad(kSibling, 1500.0);

  const ShiftPlan plan = Run(std::chrono::seconds(90));

  const double first = Rate(plan, kHome, kRemote);
  const double second = Rate(plan, kSibling, kRemote);
  EXPECT_LE(first + second, 300.0 + 1e-9);
  EXPECT_NEAR(first, second, 15.0);
  EXPECT_EQ(Rate(plan, kHome, kSibling), 0.0);
}

TEST_F(ShiftPlannerTest, CutsShiftsToDomainWithoutLiveHostsInNextStep) {
  SetLoad(kHome, 1400.0);
  ASSERT_GT(Rate(Run(std::chrono::seconds(20)), kHome, kSibling), 0.0);

  loads_[kSibling].live_hosts = 0;

  const ShiftPlan plan = Step();
  EXPECT_EQ(Rate(plan, kHome, kSibling), 0.0);
  EXPECT_EQ(BoundOf(plan, kSibling), ShiftBound::kReceiverUnusable);
}

TEST_F(ShiftPlannerTest, ColdReceiverOffersQuarterOfSpareCapacity) {
  SetLoad(kHome, 2000.0);
  capacity_ = 1000.0;

  Run(std::chrono::seconds(4));
  const ShiftPlan cold = Step();
  EXPECT_NEAR(cold.shifts.front().why.receiver_spare, 300.0 / 4, 1e-6);

  const ShiftPlan warm = Run(std::chrono::seconds(40));
  EXPECT_NEAR(warm.shifts.front().why.receiver_spare, 300.0, 1e-6);
}

TEST_F(ShiftPlannerTest, ShiftsNothingToDomainWithoutMeasurements) {
  loads_.erase(kSibling);
  SetLoad(kHome, 1400.0);

  const ShiftPlan plan = Run(std::chrono::seconds(20));

  EXPECT_EQ(Rate(plan, kHome, kSibling), 0.0);
  EXPECT_GT(Rate(plan, kHome, kRemote), 0.0);
}

}  // namespace
}  // namespace medlarcroft::steering
