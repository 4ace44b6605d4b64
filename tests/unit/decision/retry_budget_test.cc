#include "medlarcroft/decision/retry_budget.h"

#include <gtest/gtest.h>

namespace medlarcroft::decision {
namespace {

int TakeAllTokens(RetryBudget& budget) {
  int taken = 0;
  while (budget.TryTake())
    ++taken;
  return taken;
}

TEST(RetryBudget, GrantsAFractionOfTheSuccesses) {
  RetryBudget budget(0.125, 10.0);
  EXPECT_EQ(TakeAllTokens(budget), 10);

  for (int i = 0; i < 40; ++i)
    budget.OnSuccess(5.0);

  EXPECT_EQ(TakeAllTokens(budget), 5);
}

TEST(RetryBudget, BusyServiceAccumulatesTokensOfOneSecond) {
  RetryBudget budget(0.125, 10.0);

  for (int i = 0; i < 10'000; ++i)
    budget.OnSuccess(400.0);

  EXPECT_EQ(TakeAllTokens(budget), 50);
}

}  // namespace
}  // namespace medlarcroft::decision
