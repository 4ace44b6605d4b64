#include "medlarcroft/retries/retry_budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::retries {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr membership::HostShare kNoShare{};

int TakeAll(RetryBudget& budget,
            const membership::HostShare& share,
            MonotonicTime now) {
  int taken = 0;
  while (budget.TryTake(share, now)) {
    ++taken;
  }
  return taken;
}

TEST(EventWindowTest, CountsOnlyEventsWithinTheWindow) {
  EventWindow window(seconds(10));
  window.Add(kStart);
  window.Add(kStart + seconds(5));

  EXPECT_EQ(window.Count(kStart + seconds(9)), 2U);
  EXPECT_EQ(window.Count(kStart + milliseconds(12'500)), 1U);
  EXPECT_EQ(window.Count(kStart + seconds(30)), 0U);
}

TEST(EventWindowTest, WindowOfAtMostALengthCoversNoMore) {
  for (int offset = 0; offset < 200; ++offset) {
    EventWindow window = EventWindow::OfAtMost(seconds(2));
    const MonotonicTime at = kStart + milliseconds(offset);
    window.Add(at);
    EXPECT_EQ(window.Count(at + milliseconds(1'800)), 1U);
    EXPECT_EQ(window.Count(at + seconds(2)), 0U);
    EXPECT_FALSE(window.TakeOldest(at + seconds(2)));
  }
}

TEST(EventWindowTest, TakesTheOldestFirst) {
  EventWindow window(seconds(10));
  window.Add(kStart, 2);
  window.Add(kStart + seconds(9));

  EXPECT_TRUE(window.TakeOldest(kStart + seconds(9)));
  EXPECT_EQ(window.Count(kStart + seconds(15)), 1U);
}

// All targets fail at the same time, and every request on every host needs a
// retry for a minute, without coordination between the hosts. In any window of
// ten seconds the retries of all hosts together must not exceed a fifth of the
// requests plus the fixed amount.
TEST(RetryBudgetTest, AllHostsTogetherStayWithinTheLimitInEveryWindow) {
  constexpr std::uint32_t kHosts = 8;
  const RetryLimit bound{.ratio = 0.2, .fixed = 56, .window = seconds(10)};
  fakes::SeededRandom random(7);
  const membership::HostShare share{.hosts = kHosts};
  std::vector<RetryBudget> hosts(kHosts, RetryBudget({.limit = bound}));
  std::deque<MonotonicTime> requests;
  std::deque<MonotonicTime> retries;

  for (MonotonicTime now = kStart; now < kStart + seconds(60);
       now += milliseconds(5)) {
    RetryBudget& host = hosts[random.NextBelow(kHosts)];
    host.OnEarned(now);
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

TEST(RetryBudgetTest, HostWithoutRequestsMayUseItsShareOfTheFixedAmount) {
  RetryBudget budget({.limit = {.ratio = 0.2, .fixed = 56}});

  const int granted = TakeAll(budget, {.hosts = 8}, kStart);

  EXPECT_GE(granted, 5);
  EXPECT_LE(granted, 7);
}

TEST(RetryBudgetTest, RequestsEarnAFractionEach) {
  RetryBudget budget(
      {.limit = {.ratio = 0.125, .fixed = 0}, .usable_fraction = 1.0});
  EXPECT_EQ(TakeAll(budget, kNoShare, kStart), 0);

  for (int i = 0; i < 40; ++i) {
    budget.OnEarned(kStart);
  }

  EXPECT_EQ(budget.Remaining(kNoShare, kStart), 5U);
  EXPECT_EQ(TakeAll(budget, kNoShare, kStart), 5);
  EXPECT_EQ(budget.Counts().earned, 5U);
}

// Guards against a quiet time whose earnings are spent at once.
TEST(RetryBudgetTest, QuietTimeSavesNoMoreThanTheLastSeconds) {
  RetryBudget budget({.limit = {.ratio = 0.125, .fixed = 0},
                      .usable_fraction = 1.0,
                      .saved_for = seconds(2)});
  MonotonicTime now = kStart;
  for (; now < kStart + seconds(60); now += milliseconds(10)) {
    budget.OnEarned(now);
  }

  const int granted = TakeAll(budget, kNoShare, now);
  EXPECT_GE(granted, 22);
  EXPECT_LE(granted, 25);
}

// Guards against hosts with few requests that could never retry any.
TEST(RetryBudgetTest, PartOfARetryIsKeptUntilItIsWhole) {
  RetryBudget budget({.limit = {.ratio = 0.125, .fixed = 0},
                      .usable_fraction = 1.0,
                      .saved_for = seconds(2)});
  int granted = 0;
  for (int second = 0; second < 80; ++second) {
    budget.OnEarned(kStart + seconds(second));
    granted += TakeAll(budget, kNoShare, kStart + seconds(second));
  }

  EXPECT_EQ(granted, 10);
}

// Guards against a process that uses the fixed amount of the one before it.
TEST(RetryBudgetTest, NewProcessHasNoFixedAmountForOneWindow) {
  RetryBudget budget(
      {.limit = {.ratio = 0.125, .fixed = 10}, .usable_fraction = 1.0});
  const membership::HostShare share{.hosts = 1, .known_since = kStart};

  EXPECT_EQ(TakeAll(budget, share, kStart), 0);
  EXPECT_EQ(TakeAll(budget, share, kStart + seconds(9)), 0);
  EXPECT_EQ(TakeAll(budget, share, kStart + seconds(10)), 10);
  EXPECT_EQ(budget.Counts().fixed, 10U);
}

}  // namespace
}  // namespace medlarcroft::retries
