#include "medlarcroft/request_path/relay_limit.h"

#include <gtest/gtest.h>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;

// Guards against a helper that runs out of memory for other hosts' requests.
TEST(RelayLimitTest, AdmitsUpToTheLimit) {
  const RelayLimit limit(2);
  const MonotonicTime now{std::chrono::hours(1)};
  EXPECT_TRUE(limit.Admits(1, now));
  EXPECT_FALSE(limit.Admits(2, now));
}

// Guards against a helper that serves its own callers late since most hosts of
// its region are cut off.
TEST(RelayLimitTest, RefusesWhileTheEventLoopIsLate) {
  RelayLimit limit(10);
  MonotonicTime now{std::chrono::hours(1)};
  limit.Start(now);
  limit.OnTick(now += RelayLimit::kTickPeriod + milliseconds(5));
  EXPECT_TRUE(limit.Admits(0, now));

  limit.OnTick(now += RelayLimit::kTickPeriod + milliseconds(90));
  EXPECT_FALSE(limit.Admits(0, now));
  limit.OnTick(now += RelayLimit::kTickPeriod);
  EXPECT_FALSE(limit.Admits(0, now));
  EXPECT_TRUE(limit.Admits(0, now + milliseconds(300)));
}

}  // namespace
}  // namespace medlarcroft::request_path
