#include "medlarcroft/steering/lookup_demand_tracker.h"

#include <gtest/gtest.h>

namespace medlarcroft::steering {
namespace {

const ServiceName kSlotboard("slotboard");
const FailureDomainName kOviedo("kOviedo-a");
constexpr MonotonicTime kStart{std::chrono::hours(1)};

MonotonicTime At(double seconds) {
  return kStart + FromSeconds(seconds);
}

struct ExpiryCase {
  const char* name;
  double ttl;
  double seconds_later;
  double pending;
};

class LookupDemandExpiry : public ::testing::TestWithParam<ExpiryCase> {};

TEST_P(LookupDemandExpiry, CountsAnswerUntilTtlExpires) {
  const ExpiryCase& parameters = GetParam();
  LookupDemandTracker demand;

  demand.Record(kSlotboard, kOviedo, 2.5, FromSeconds(parameters.ttl), kStart);

  EXPECT_EQ(demand.Pending(kSlotboard, kOviedo, At(parameters.seconds_later)),
            parameters.pending);
}

// Answers are dropped at most one bucket (2.2 s) late and never early.
INSTANTIATE_TEST_SUITE_P(
    Times,
    LookupDemandExpiry,
    ::testing::Values(ExpiryCase{"AtOnce", 5, 0, 2.5},
                      ExpiryCase{"JustBefore", 5, 4.99, 2.5},
                      ExpiryCase{"OneBucketAfter", 5, 7.2, 0},
                      ExpiryCase{"LongestJustBefore", 64, 63.9, 2.5},
                      ExpiryCase{"LongestAfter", 64, 66.2, 0},
                      ExpiryCase{"TooLongIsCutOff", 3600, 66.2, 0},
                      ExpiryCase{"NegativeIsZero", -5, 2.2, 0}),
    [](const auto& info) { return info.param.name; });

TEST(LookupDemandTracker, BoundsSeriesAndCountsDroppedAnswers) {
  LookupDemandTracker demand({.max_series = 2});
  for (const char* name : {"a", "b", "c"}) {
    demand.Record(ServiceName(name), kOviedo, 1.0, FromSeconds(5), kStart);
  }

  EXPECT_EQ(demand.DroppedCount(), 1U);
  EXPECT_EQ(demand.All(kStart).size(), 2U);

  // Expired pairs are dropped to make room.
  demand.Record(ServiceName("c"), kOviedo, 1.0, FromSeconds(5), At(60));
  EXPECT_EQ(demand.DroppedCount(), 1U);
  EXPECT_EQ(demand.Pending(ServiceName("c"), kOviedo, At(60)), 1.0);
}

}  // namespace
}  // namespace medlarcroft::steering
