#include <gtest/gtest.h>

#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

// Guards against blocking a request that ran on two targets as many ended: its
// hedged send must not count as a second crash.
TEST(CrashReportTest, SendsOfOneRequestThatEndAtOnceCountOnce) {
  const SystemClock clock;
  SingleLoopDeployment deployment(clock);
  deployment.GrantToken();
  deployment.target.on_request = [&](HttpExchange&) {
    if (deployment.target.exchanges.size() == 2) {
      deployment.EndTargetsSoon();
    }
  };
  deployment.Call();
  deployment.RunUntilCrashes(2);

  ASSERT_EQ(deployment.crashes.size(), 2U);
  EXPECT_FALSE(deployment.crashes[0].fingerprint.IsEmpty());
  EXPECT_TRUE(deployment.crashes[1].fingerprint.IsEmpty());
}

}  // namespace
}  // namespace medlarcroft::adapters
