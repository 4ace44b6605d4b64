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

TEST(EventWindowTest, CountsOnlyEventsWithinTheWindow) {
  EventWindow window(seconds(10));
  window.Add(kStart);
  window.Add(kStart + seconds(5));

  EXPECT_EQ(window.Count(kStart + seconds(9)), 2U);
  EXPECT_EQ(window.Count(kStart + milliseconds(12'500)), 1U);
  EXPECT_EQ(window.Count(kStart + seconds(30)), 0U);
}

// All targets fail at the same time, and every request on every host needs a
// retry for a minute, without coordination between the hosts. In any window of
// ten seconds the retries of all hosts together must not exceed a fifth of the
// requests plus the fixed amount.
TEST(RetryBudgetShareTest, AllHostsTogetherStayWithinTheLimitInEveryWindow) {
  constexpr std::uint32_t kHosts = 8;
  const RetryLimit bound{.ratio = 0.2, .fixed = 56, .window = seconds(10)};
  fakes::SeededRandom random(7);
  const membership::HostShare share{.hosts = kHosts};
  std::vector<RetryBudgetShare> hosts(kHosts, RetryBudgetShare(bound));
  std::deque<MonotonicTime> requests;
  std::deque<MonotonicTime> retries;

  for (MonotonicTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(5)) {
    RetryBudgetShare& host = hosts[random.NextBelow(kHosts)];
    host.OnRequest(now);
    requests.push_back(now);
    if (host.TryTake(share, now)) {
      retries.push_back(now);
    }
    while (requests.front() <= now - bound.window) {
      requests.pop_front();
    }
    while (!retries.empty() && retries.front() <= now - bound.window) {
      retries.pop_front();
    }
    ASSERT_LE(static_cast<double>(retries.size()),
              bound.ratio * static_cast<double>(requests.size()) + bound.fixed);
  }
  EXPECT_GT(retries.size(), 100U);
}

TEST(RetryBudgetShareTest, HostWithoutRequestsMayUseItsShareOfTheFixedAmount) {
  RetryBudgetShare budget({.ratio = 0.2, .fixed = 56});
  int granted = 0;

  while (budget.TryTake({.hosts = 8}, kStart)) {
    ++granted;
  }

  EXPECT_GE(granted, 5);
  EXPECT_LE(granted, 7);
}

}  // namespace
}  // namespace medlarcroft::request_path
