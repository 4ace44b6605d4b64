#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "adapters/forward/relay_protocol.h"
#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

constexpr int kCalls = 40;
constexpr Duration kInterval = milliseconds(10);

/// @brief How a helper ends a send to the target.
using HelperScript = std::function<RelayEnd(const std::string& target)>;

bool IsOneOfTwo(const std::string& target) {
  return target == "t0" || target == "t1";
}
RelayEnd MissTwo(const std::string& target) {
  return IsOneOfTwo(target) ? RelayEnd::kNotSent : RelayEnd::kAnswered;
}
RelayEnd LoseTwo(const std::string& target) {
  return IsOneOfTwo(target) ? RelayEnd::kLost : RelayEnd::kAnswered;
}
RelayEnd MissAll(const std::string& /*target*/) {
  return RelayEnd::kNotSent;
}
RelayEnd Refuse(const std::string& /*target*/) {
  return RelayEnd::kRefused;
}
RelayEnd Answer(const std::string& /*target*/) {
  return RelayEnd::kAnswered;
}

/// @brief Answers as a helper whose sends end as the script says.
class ScriptedHelper final : public HttpRequestHandler {
 public:
  explicit ScriptedHelper(HelperScript script) : script_(std::move(script)) {}

  void OnRequest(HttpRequest call,
                 const std::shared_ptr<HttpExchange>& exchange) override {
    const auto relay = DecodeRelayRequest(std::move(call));
    const RelayEnd end = script_(relay->target.name.Value());
    exchange->Respond(end == RelayEnd::kAnswered
                          ? EncodeRelayedAnswer({.status = 200})
                          : EncodeRelayFailure(end));
  }

 private:
  HelperScript script_;
};

struct HelpersCase {
  std::string name;
  HelperScript first;
  HelperScript second;
};

class RelayHelpersTable : public testing::TestWithParam<HelpersCase> {};

// Guards against refusing the callers of a host that is cut off, although a
// helper reaches half of the targets at least.
TEST_P(RelayHelpersTable, AllCallersAreServed) {
  SystemClock clock;
  SingleLoopDeployment deployment(clock);
  ScriptedHelper first(GetParam().first);
  ScriptedHelper second(GetParam().second);
  deployment.helper.next = &first;
  deployment.other_helper.next = &second;
  deployment.UseOtherHelper();
  deployment.GrantToken();
  deployment.CutOff();
  deployment.CallRegularly(kCalls, kInterval);
  deployment.Run();
  EXPECT_EQ(deployment.Served(), kCalls);
  EXPECT_TRUE(deployment.IsCutOff());
}

INSTANTIATE_TEST_SUITE_P(
    Helpers,
    RelayHelpersTable,
    testing::Values(HelpersCase{.name = "two_targets_are_dead",
                                .first = MissTwo,
                                .second = MissTwo},
                    HelpersCase{.name = "two_targets_are_dead_one_helper_left",
                                .first = Refuse,
                                .second = MissTwo},
                    HelpersCase{.name = "two_targets_crash_under_requests",
                                .first = LoseTwo,
                                .second = LoseTwo},
                    HelpersCase{.name = "one_helper_is_cut_off_too",
                                .first = MissAll,
                                .second = Answer}),
    [](const auto& info) { return info.param.name; });

// Guards against ending the belief that this host is cut off, since helpers
// that are cut off too, and do not know it yet, miss all targets: it would send
// in vain, mark all targets as failed and refuse its callers for seconds.
TEST(RelayHelpersTest, HelpersThatMissAllTargetsAreNoReasonToSendDirectly) {
  SystemClock clock;
  SingleLoopDeployment deployment(clock);
  ScriptedHelper helper(MissAll);
  deployment.helper.next = &helper;
  deployment.GrantToken();
  deployment.CutOff();
  deployment.CallRegularly(kCalls, kInterval);
  deployment.Run();
  EXPECT_TRUE(deployment.IsCutOff());
  EXPECT_TRUE(deployment.target.exchanges.empty());
}

// Guards against asking other hosts in vain while the targets are down: each
// host says that it reaches none, and is asked once a second.
TEST(RelayHelpersTest, HelpersThatReachNoTargetAreAskedOnceASecond) {
  SystemClock clock;
  SingleLoopDeployment deployment(clock);
  ScriptedHelper helper([](const std::string&) { return RelayEnd::kCutOff; });
  deployment.helper.next = &helper;
  deployment.GrantToken();
  deployment.CutOff();
  deployment.CallRegularly(kCalls, kInterval);
  deployment.Run();
  EXPECT_LE(deployment.helper.exchanges.size(), 4U);
  EXPECT_TRUE(deployment.target.exchanges.empty());
}

}  // namespace
}  // namespace medlarcroft::adapters
