#include "medlarcroft/resources/connection_limit.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::resources {
namespace {

using enum ConnectionState;

struct LimitCase {
  std::string name;
  /// Of the connections, in the order in which they came; one is too many.
  std::vector<ConnectionState> states;
  ConnectionLimit::Id expected;  ///< 0: nobody gives way.
};

class ConnectionLimitTest : public testing::TestWithParam<LimitCase> {};

// Guards against silent connections that take all descriptors, and against a
// bound that closes those of clients that are being served.
TEST_P(ConnectionLimitTest, WhoBroughtLeastGivesWay) {
  ConnectionLimit limit(GetParam().states.size() - 1);
  for (const ConnectionState state : GetParam().states) {
    limit.SetState(limit.Add(), state);
  }
  EXPECT_EQ(limit.FindExcess().value_or(0), GetParam().expected);
  limit.Remove(1);
  EXPECT_FALSE(limit.FindExcess());
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ConnectionLimitTest,
    testing::Values(
        LimitCase{"TheOldestOfTheSilent", {kServing, kSilent, kSilent}, 2},
        LimitCase{"APartOfAHeadBeforeIdleOnes", {kIdle, kHead, kServing}, 2},
        LimitCase{"IdleOnesBeforeThoseWithARequest",
                  {kReading, kServing, kIdle},
                  3},
        LimitCase{"NobodyWhoIsServed", {kServing, kServing, kServing}, 0}),
    [](const auto& tested) { return tested.param.name; });

TEST(ConnectionLimitTest, AStateCountsFromItsBegin) {
  ConnectionLimit limit(1);
  const auto first = limit.Add();
  const auto second = limit.Add();
  limit.SetState(second, kIdle);
  limit.SetState(first, kIdle);
  EXPECT_EQ(limit.FindExcess(), second);
}

}  // namespace
}  // namespace medlarcroft::resources
