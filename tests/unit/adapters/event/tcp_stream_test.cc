#include "adapters/event/tcp_stream.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

using std::chrono::seconds;

class KeepAliveLimit : public testing::TestWithParam<int> {};

// Guards against probes whose count states another end than TCP_USER_TIMEOUT,
// which decides: a dead peer would be noticed later than the count says.
TEST_P(KeepAliveLimit, ProbesEndAtTheUserTimeout) {
  const KeepAliveProbes probes = KeepAliveProbesFor(seconds(GetParam()));
  EXPECT_EQ(probes.idle_seconds + probes.interval_seconds * probes.count,
            GetParam());
}

INSTANTIATE_TEST_SUITE_P(Seconds, KeepAliveLimit, testing::Values(2, 3, 5, 10));

}  // namespace
}  // namespace medlarcroft::adapters
