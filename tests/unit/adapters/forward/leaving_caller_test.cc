#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "fakes/manual_clock.h"
#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

using std::chrono::milliseconds;

/// @brief Where a request is while its caller leaves, and how often it has been
/// sent by then.
struct WaitCase {
  std::string name;
  std::function<void(SingleLoopDeployment&)> arrange;
  std::size_t sent_to_targets = 0;
  std::size_t sent_to_helpers = 0;
};

class LeavingCallerTable : public testing::TestWithParam<WaitCase> {};

// A caller leaves while its request waits, and the host is held up for over
// half a second, so that what the request waited for comes first. Guards
// against targets that run requests which nobody waits for.
TEST_P(LeavingCallerTable, NothingMoreIsSent) {
  const SystemClock clock;
  SingleLoopDeployment deployment(clock);
  GetParam().arrange(deployment);
  deployment.RunUntilNothingIsInFlight();
  EXPECT_EQ(deployment.target.exchanges.size(), GetParam().sent_to_targets);
  EXPECT_EQ(deployment.helper.exchanges.size(), GetParam().sent_to_helpers);
}

void LeaveWhileConnecting(SingleLoopDeployment& deployment) {
  deployment.GrantToken();
  deployment.host.on_request = [&](HttpExchange&) {
    deployment.LeaveAfterNextEvent();
  };
  deployment.Call();
}

void LeaveBeforeRetry(SingleLoopDeployment& deployment) {
  deployment.GrantToken();
  deployment.target.on_request = [&](HttpExchange& exchange) {
    exchange.Respond({.status = kRejected});
    deployment.Leave();
  };
  deployment.Call();
}

void LeaveBeforeHedge(SingleLoopDeployment& deployment) {
  deployment.GrantToken();
  deployment.target.on_request = [&](HttpExchange&) { deployment.Leave(); };
  deployment.Call();
}

void LeaveBeforeToken(SingleLoopDeployment& deployment) {
  deployment.host.on_request = [&](HttpExchange&) {
    deployment.Leave();
    deployment.GrantToken();
  };
  deployment.Call();
}

void LeaveAfterNextRequest(SingleLoopDeployment& deployment) {
  deployment.host.on_request = [&](HttpExchange&) {
    deployment.SendNextRequest();
    deployment.LeaveAfterNextEvent();
  };
  deployment.GrantToken();
  deployment.Call();
}

void LeaveWhileConnectingToHelper(SingleLoopDeployment& deployment) {
  deployment.CutOff();
  LeaveWhileConnecting(deployment);
}

void LeaveBeforeNextHelper(SingleLoopDeployment& deployment) {
  deployment.CutOff();
  deployment.GrantToken();
  deployment.helper.on_request = [&](HttpExchange& exchange) {
    exchange.Respond(EncodeRelayFailure(RelayEnd::kRefused));
    deployment.Leave();
  };
  deployment.Call();
}

void LeaveWhileHelperConnects(SingleLoopDeployment& deployment) {
  deployment.host.on_request = [&](HttpExchange&) {
    deployment.LeaveAfterNextEvent();
  };
  deployment.CallForOtherHost();
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LeavingCallerTable,
    testing::Values(WaitCase{"connection", LeaveWhileConnecting},
                    WaitCase{"next_request_unread", LeaveAfterNextRequest},
                    WaitCase{"retry", LeaveBeforeRetry, 1},
                    WaitCase{"hedge", LeaveBeforeHedge, 1},
                    WaitCase{"token", LeaveBeforeToken},
                    WaitCase{"connection_to_helper",
                             LeaveWhileConnectingToHelper},
                    WaitCase{"next_helper", LeaveBeforeNextHelper, 0, 1},
                    WaitCase{"connection_of_helper", LeaveWhileHelperConnects}),
    [](const auto& info) { return info.param.name; });

class BusyHostTable
    : public testing::TestWithParam<void (SingleLoopDeployment::*)()> {};

// Guards against targets that work on for callers who have left: a host with
// many events to handle came to the end of a caller's connection last.
TEST_P(BusyHostTable, TargetStopsInTime) {
  constexpr int kOthers = 40;
  constexpr Duration kTimePerRequest = milliseconds(25);
  constexpr Duration kMaxWork = milliseconds(500);
  fakes::ManualClock clock;
  SingleLoopDeployment deployment(clock);
  deployment.GrantToken();
  std::optional<MonotonicTime> left_at;
  std::optional<MonotonicTime> stopped_at;
  deployment.target.on_request = [&](HttpExchange&) {
    if (deployment.target.exchanges.size() == 1) {
      deployment.CallFromOthers(kOthers);
    }
  };
  deployment.host.on_request = [&](HttpExchange&) {
    const std::size_t calls = deployment.host.exchanges.size();
    if (calls == 2) {
      deployment.CloseCaller();
      left_at = clock.Now();
    }
    clock.Advance(kTimePerRequest);
    if (left_at && !stopped_at &&
        deployment.target.exchanges.front()->IsCallerGone()) {
      stopped_at = clock.Now();
    }
    if (calls > kOthers) {
      deployment.Stop();
    }
  };
  (deployment.*GetParam())();
  deployment.Run();

  ASSERT_TRUE(left_at && stopped_at);
  EXPECT_LE(*stopped_at - *left_at, kMaxWork);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BusyHostTable,
    testing::Values(&SingleLoopDeployment::Call,
                    &SingleLoopDeployment::CallForOtherHost),
    [](const auto& info) {
      return std::string(info.index == 0 ? "own_caller" : "other_host");
    });

}  // namespace
}  // namespace medlarcroft::adapters
