#include "medlarcroft/capacity/split.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <vector>

#include "medlarcroft/capacity/split_transition.h"

namespace medlarcroft::capacity {
namespace {

TEST(Split, SharesAddUpToTheLimitForAllSizes) {
  for (std::uint32_t limit = 0; limit <= 40; ++limit) {
    for (std::uint32_t seats = 1; seats <= 60; ++seats) {
      std::uint32_t sum = 0;
      for (std::uint32_t seat = 0; seat < seats + 2; ++seat) {
        sum += SplitLimit("target/a/slots", limit, seats, seat);
      }
      ASSERT_EQ(sum, limit) << seats;
    }
  }
}

// Guards against one host refusing requests while others have free slots: with
// 3 slots and 52 seats, all remainders would go to the first three seats for
// every target.
TEST(Split, SpreadsRemaindersOverSeats) {
  std::vector<std::uint32_t> sums(52);
  for (int target = 0; target < 100; ++target) {
    const std::string name = "target/" + std::to_string(target) + "/slots";
    for (std::uint32_t seat = 0; seat < 52; ++seat) {
      sums[seat] += SplitLimit(name, 3, 52, seat);
    }
    EXPECT_EQ(SeatsWithShare(name, 3, 52).size(), 3U);
  }
  EXPECT_EQ(std::accumulate(sums.begin(), sums.end(), 0U), 300U);
  EXPECT_LE(*std::ranges::max_element(sums), 15U);
}

TEST(SplitTransition, GrowsOnlyWhenAllHaveAdoptedTheRevision) {
  const LeaseRules rules;
  const MonotonicTime start{};
  SplitTransition share(rules);
  share.Begin(1, 1, 1);
  EXPECT_EQ(share.Amount(), 1U);
  share.Propose(2, 3);
  share.Confirm(1, start);
  EXPECT_EQ(share.Amount(), 1U);
  share.Confirm(2, start);
  EXPECT_EQ(share.Amount(), 1U);
  share.Confirm(2, start + rules.ReuseDelay());
  EXPECT_EQ(share.Amount(), 3U);
  share.Propose(3, 2);
  EXPECT_EQ(share.Amount(), 2U);
}

}  // namespace
}  // namespace medlarcroft::capacity
