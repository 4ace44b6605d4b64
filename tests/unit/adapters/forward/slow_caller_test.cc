#include <gtest/gtest.h>

#include <string>

#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

// More than the kernel takes for one connection.
constexpr std::size_t kLargeBytes = std::size_t{16} * 1024 * 1024;

struct SlowCallerCase {
  std::string name;
  void (SingleLoopDeployment::*call)();
};

class SlowCallerTest : public testing::TestWithParam<SlowCallerCase> {};

// Guards against a stop that ends with an answer unsent, also one for another
// host's caller: it counted as done once it was handed to its connection.
TEST_P(SlowCallerTest, StopWaitsForAnAnswerThatIsNotReadYet) {
  const SystemClock clock;
  SingleLoopDeployment deployment(clock);
  OwedResponses before;
  OwedResponses after;
  deployment.host.on_request = [&](HttpExchange&) { deployment.GrantToken(); };
  deployment.target.on_request = [&](HttpExchange& exchange) {
    before = deployment.Owed();
    exchange.Respond({.status = 200, .body = std::string(kLargeBytes, 'a')});
  };
  (deployment.*GetParam().call)();
  deployment.After(std::chrono::milliseconds(500), [&] {
    after = deployment.Owed();
    deployment.Stop();
  });
  deployment.Run();
  EXPECT_EQ(before.requests, 1U);
  EXPECT_EQ(after.requests, 0U);
  EXPECT_EQ(after.responses, 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SlowCallerTest,
    testing::Values(SlowCallerCase{"OwnCaller", &SingleLoopDeployment::Call},
                    SlowCallerCase{"OtherHost",
                                   &SingleLoopDeployment::CallForOtherHost}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
