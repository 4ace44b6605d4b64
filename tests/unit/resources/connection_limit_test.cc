#include "medlarcroft/resources/connection_limit.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::resources {
namespace {

using enum ConnectionState;

struct LimitCase {
  std::string name;
  /// Of the connections, in the order in which they came; the last one is one
  /// too many.
  std::vector<ConnectionState> states;
  ConnectionLimit::Id expected;  ///< 0: nobody gives way.
};

class ConnectionLimitTest : public testing::TestWithParam<LimitCase> {};

// Guards against silent connections that take all descriptors, and against a
// bound that closes those of clients that are being served.
TEST_P(ConnectionLimitTest, WhoBroughtLeastGivesWay) {
  ConnectionLimit limit(GetParam().states.size() - 1);
  ConnectionLimit::Id newcomer = 0;
  for (const ConnectionState state : GetParam().states) {
    newcomer = limit.Add();
    limit.SetState(newcomer, state);
  }
  EXPECT_EQ(limit.FindExcess(newcomer).value_or(0), GetParam().expected);
  limit.Remove(1);
  EXPECT_FALSE(limit.FindExcess(newcomer));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    ConnectionLimitTest,
    testing::Values(
        LimitCase{"TheOldestOfTheSilent", {kServing, kSilent, kSilent}, 2},
        LimitCase{"APartOfAHeadBeforeIdleOnes", {kIdle, kHead, kServing}, 2},
        LimitCase{"IdleOnesBeforeThoseWithARequest",
                  {kReading, kServing, kIdle, kSilent},
                  3},
        LimitCase{"ANewOneIsNotItsOwnVictim", {kHead, kHead, kSilent}, 1},
        LimitCase{"NobodyWhoIsServed", {kServing, kServing, kSilent}, 0}),
    [](const auto& tested) { return tested.param.name; });

TEST(ConnectionLimitTest, AStateCountsFromItsBegin) {
  ConnectionLimit limit(1);
  const auto first = limit.Add();
  const auto second = limit.Add();
  limit.SetState(second, kIdle);
  limit.SetState(first, kIdle);
  EXPECT_EQ(limit.FindExcess(0), second);
}

}  // namespace
}  // namespace medlarcroft::resources
