#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

#include "adapters/process/system_clock.h"
#include "single_loop_deployment.h"

namespace medlarcroft::adapters {
namespace {

using request_path::TargetNotice;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than any request here.
constexpr TargetNotice kRest{.rest = seconds(60)};
constexpr TargetNotice kLeaving{.is_leaving = true};

/// @brief Where a request is while all targets say that they want none, and how
/// often it has been sent by then.
struct WaitCase {
  std::string name;
  std::function<void(SingleLoopDeployment&, const TargetNotice&)> arrange;
  std::size_t sent_to_targets = 0;
  std::size_t sent_to_helpers = 0;
};

class UnwillingTargetTable : public testing::TestWithParam<WaitCase> {
 protected:
  static void ExpectNothingMoreIsSent(const TargetNotice& notice) {
    const SystemClock clock;
    SingleLoopDeployment deployment(clock);
    GetParam().arrange(deployment, notice);
    deployment.RunUntilNothingIsInFlight();
    EXPECT_EQ(deployment.target.exchanges.size(), GetParam().sent_to_targets);
    EXPECT_EQ(deployment.helper.exchanges.size(), GetParam().sent_to_helpers);
    EXPECT_TRUE(deployment.crashes.empty());
  }
};

// Guards against asking what a target wants only when it is chosen: a request
// that waits is sent later.
TEST_P(UnwillingTargetTable, NothingMoreIsSentToATargetThatRests) {
  ExpectNothingMoreIsSent(kRest);
}

TEST_P(UnwillingTargetTable, NothingMoreIsSentToATargetThatLeaves) {
  ExpectNothingMoreIsSent(kLeaving);
}

void NoticeWhileConnecting(SingleLoopDeployment& deployment,
                           const TargetNotice& notice) {
  deployment.GrantToken();
  deployment.host.on_request = [&deployment, notice](HttpExchange&) {
    deployment.AfterNextEvent(
        [&deployment, notice] { deployment.Notice(notice); });
  };
  deployment.Call();
}

void NoticeBeforeRetry(SingleLoopDeployment& deployment,
                       const TargetNotice& notice) {
  deployment.GrantToken();
  deployment.target.on_request = [&deployment, notice](HttpExchange& exchange) {
    deployment.Notice(notice);
    exchange.Respond({.status = kRejected});
  };
  deployment.Call();
}

void NoticeBeforeHedge(SingleLoopDeployment& deployment,
                       const TargetNotice& notice) {
  deployment.GrantToken();
  deployment.target.on_request = [&deployment, notice](HttpExchange&) {
    deployment.Notice(notice);
    deployment.After(milliseconds(1500), [&deployment] {
      deployment.target.exchanges.front()->Respond({.status = 200});
    });
  };
  deployment.Call();
}

void NoticeBeforeToken(SingleLoopDeployment& deployment,
                       const TargetNotice& notice) {
  deployment.host.on_request = [&deployment, notice](HttpExchange&) {
    deployment.After(milliseconds(20), [&deployment, notice] {
      deployment.Notice(notice);
      deployment.GrantToken();
    });
  };
  deployment.Call();
}

void NoticeBeforeConnectionBreaks(SingleLoopDeployment& deployment,
                                  const TargetNotice& notice) {
  deployment.GrantToken();
  deployment.target.on_request = [&deployment, notice](HttpExchange&) {
    deployment.Notice(notice);
    deployment.EndTargetsSoon();
  };
  deployment.Call();
}

void NoticeWhileConnectingToHelper(SingleLoopDeployment& deployment,
                                   const TargetNotice& notice) {
  deployment.CutOff();
  NoticeWhileConnecting(deployment, notice);
}

void NoticeBeforeNextHelper(SingleLoopDeployment& deployment,
                            const TargetNotice& notice) {
  deployment.CutOff();
  deployment.GrantToken();
  deployment.helper.on_request = [&deployment, notice](HttpExchange& exchange) {
    deployment.Notice(notice);
    exchange.Respond(EncodeRelayFailure(RelayEnd::kRefused));
  };
  deployment.Call();
}

void NoticeWhileHelperConnects(SingleLoopDeployment& deployment,
                               const TargetNotice& notice) {
  deployment.host.on_request = [&deployment, notice](HttpExchange&) {
    deployment.AfterNextEvent(
        [&deployment, notice] { deployment.Notice(notice); });
  };
  deployment.CallForOtherHost();
}

void NoticeBeforeOtherHostAsks(SingleLoopDeployment& deployment,
                               const TargetNotice& notice) {
  deployment.Notice(notice);
  deployment.CallForOtherHost();
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UnwillingTargetTable,
    testing::Values(
        WaitCase{"connection", NoticeWhileConnecting},
        WaitCase{"retry", NoticeBeforeRetry, 1},
        WaitCase{"hedge", NoticeBeforeHedge, 1},
        WaitCase{"token", NoticeBeforeToken},
        WaitCase{"broken_connection", NoticeBeforeConnectionBreaks, 1},
        WaitCase{"connection_to_helper", NoticeWhileConnectingToHelper},
        WaitCase{"next_helper", NoticeBeforeNextHelper, 0, 1},
        WaitCase{"connection_of_helper", NoticeWhileHelperConnects},
        WaitCase{"other_host", NoticeBeforeOtherHostAsks}),
    [](const auto& info) { return info.param.name; });

/// @brief How a target's answer reaches this host.
struct AnswerCase {
  std::string name;
  std::function<void(SingleLoopDeployment&)> arrange;
};

class AnswerTable : public testing::TestWithParam<AnswerCase> {};

// Guards against a host that does not learn what a target says because the
// answer is for another host, comes through one or broke off there.
TEST_P(AnswerTable, HostHearsWhatTheTargetSays) {
  const SystemClock clock;
  SingleLoopDeployment deployment(clock);
  GetParam().arrange(deployment);
  deployment.RunUntilNothingIsInFlight();
  EXPECT_GE(deployment.UnwillingTargets(), 1);
}

HttpResponse RejectionWithRest() {
  return {.status = kRejected, .headers = {{"Retry-After", "60"}}};
}

void TargetsRespond(SingleLoopDeployment& deployment,
                    HttpResponse (*respond)()) {
  deployment.GrantToken();
  deployment.target.on_request = [respond](HttpExchange& exchange) {
    exchange.Respond(respond());
  };
}

void HelperResponds(SingleLoopDeployment& deployment,
                    const HttpResponse& response) {
  deployment.CutOff();
  deployment.GrantToken();
  deployment.helper.on_request = [response](HttpExchange& exchange) {
    exchange.Respond(response);
  };
  deployment.Call();
}

INSTANTIATE_TEST_SUITE_P(
    All,
    AnswerTable,
    testing::Values(AnswerCase{"rejection",
                               [](SingleLoopDeployment& deployment) {
                                 TargetsRespond(deployment, RejectionWithRest);
                                 deployment.Call();
                               }},
                    AnswerCase{"to_other_host",
                               [](SingleLoopDeployment& deployment) {
                                 TargetsRespond(deployment, RejectionWithRest);
                                 deployment.CallForOtherHost();
                               }},
                    AnswerCase{"through_helper",
                               [](SingleLoopDeployment& deployment) {
                                 HelperResponds(
                                     deployment,
                                     EncodeRelayedAnswer({.status = kRejected},
                                                         kRest));
                               }},
                    AnswerCase{"broken_at_helper",
                               [](SingleLoopDeployment& deployment) {
                                 HelperResponds(deployment,
                                                EncodeRelayFailure(
                                                    RelayEnd::kLost, kLeaving));
                               }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::adapters
