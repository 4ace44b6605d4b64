// A host that was held up: targets' answers wait to be read when the time of
// their requests is over.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fakes/manual_clock.h"
#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

// The loop comes to one of them before it comes to the timers.
constexpr std::size_t kCalls = 5;
// Their connections carry the calls, and one is left for a hedge.
constexpr std::size_t kEarlierCalls = kCalls + 1;
constexpr std::size_t kAllCalls = kEarlierCalls + kCalls;
constexpr Duration kTurn = std::chrono::microseconds(100);
// After the host goes on.
constexpr int kTurnsToSettle = 300;

struct HoldCase {
  std::string name;
  Duration held_for;
};

class HeldUpForwarderTest : public testing::TestWithParam<HoldCase> {
 protected:
  using Exchanges = std::vector<std::shared_ptr<HttpExchange>>;

  static void RespondFrom(const Exchanges& exchanges, std::size_t first) {
    for (std::size_t i = first; i < exchanges.size(); ++i) {
      exchanges[i]->Respond({.status = 200});
    }
  }
};

// Guards against answers that are there and not passed on, and against sends
// that repeat what is answered.
TEST_P(HeldUpForwarderTest, PassesOnWhatArrivedMeanwhile) {
  fakes::ManualClock clock;
  SingleLoopDeployment deployment(clock);
  int turns_left = kTurnsToSettle;
  std::function<void()> turn = [&] {
    clock.Advance(kTurn);
    if (--turns_left > 0) {
      deployment.After(Duration(0), turn);
    } else {
      deployment.Stop();
    }
  };
  deployment.GrantToken();
  deployment.target.on_request = [&](HttpExchange&) {
    const auto& sent = deployment.target.exchanges;
    if (sent.size() == kEarlierCalls) {
      RespondFrom(sent, 0);
      deployment.After(kTurn * 50, [&] { deployment.CallFromOthers(kCalls); });
      turns_left = kTurnsToSettle;
    } else if (sent.size() == kAllCalls) {
      RespondFrom(sent, kEarlierCalls);
      clock.Advance(GetParam().held_for);
      turns_left = kTurnsToSettle;
    }
  };
  deployment.CallFromOthers(kEarlierCalls);
  deployment.After(Duration(0), turn);
  deployment.Run();
  EXPECT_EQ(deployment.target.exchanges.size(), kAllCalls);
  EXPECT_EQ(deployment.Served(), static_cast<int>(kAllCalls));
}

INSTANTIATE_TEST_SUITE_P(
    All,
    HeldUpForwarderTest,
    testing::Values(HoldCase{"PastTheHedgeDelay", std::chrono::seconds(2)},
                    HoldCase{"PastTheTimeout", std::chrono::seconds(5)}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
