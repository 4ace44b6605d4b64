#include "medlarcroft/request_path/retry_budget_share.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

TEST(EventWindowTest, CountsWhatIsWithinTheWindowAndForgetsTheRest) {
  EventWindow window(seconds(10));
  window.Add(kStart);
  window.Add(kStart + seconds(5));

  EXPECT_EQ(window.Count(kStart + seconds(9)), 2U);
  EXPECT_EQ(window.Count(kStart + milliseconds(12'500)), 1U);
  EXPECT_EQ(window.Count(kStart + seconds(30)), 0U);
}

// All targets fail at once: every caller's request asks for another send, on
// every host, for a minute. The hosts know nothing of each other. In whatever
// ten seconds anyone looks at, all their further sends together stay within a
// fifth of the requests plus the fixed amount.
TEST(RetryBudgetShareTest, AllHostsTogetherKeepTheBoundInEveryWindow) {
  constexpr std::uint32_t kHosts = 8;
  const RetryLimit bound{.ratio = 0.2, .fixed = 56, .window = seconds(10)};
  fakes::SeededRandom random(7);
  std::vector<RetryBudgetShare> hosts(kHosts, RetryBudgetShare(bound));
  std::deque<MonotonicTime> requests;
  std::deque<MonotonicTime> further;

  for (MonotonicTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(5)) {
    RetryBudgetShare& host = hosts[random.NextBelow(kHosts)];
    host.OnRequest(now);
    requests.push_back(now);
    if (host.TryTake(kHosts, now)) {
      further.push_back(now);
    }
    while (requests.front() <= now - bound.window) {
      requests.pop_front();
    }
    while (!further.empty() && further.front() <= now - bound.window) {
      further.pop_front();
    }
    ASSERT_LE(static_cast<double>(further.size()),
              bound.ratio * static_cast<double>(requests.size()) + bound.fixed);
  }
  EXPECT_GT(further.size(), 100U);
}

TEST(RetryBudgetShareTest, AHostWithoutRequestsSpendsItsPartOfTheFixedAmount) {
  RetryBudgetShare allowance({.ratio = 0.2, .fixed = 56});
  int granted = 0;

  while (allowance.TryTake(8, kStart)) {
    ++granted;
  }

  EXPECT_GE(granted, 5);
  EXPECT_LE(granted, 7);
}

}  // namespace
}  // namespace medlarcroft::request_path
