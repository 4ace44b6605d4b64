#include "standins/target/target_handler.h"

#include <gtest/gtest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "adapters/http/http_client.h"
#include "adapters/load/target_probe.h"

namespace medlarcroft::standins {
namespace {

using adapters::ClientRequest;
using adapters::ClientResponse;
using adapters::ClientResult;
using adapters::HttpClient;
using adapters::HttpServer;
using adapters::TransportFailure;
using nlohmann::json;

/// Latency that exceeds the duration of any test.
constexpr std::string_view kVeryLongLatency = R"({"latency_ms":60000})";

class TargetHandlerTest : public testing::Test {
 protected:
  TargetHandlerTest()
      : handler_({.name = "t1",
                  .service = "swap-ledger",
                  .slots = 2,
                  .mean_service_time = std::chrono::milliseconds(1)}),
        server_(TakeValue(
            HttpServer::Start({.address = "127.0.0.1:0", .threads = 1},
                              handler_))) {
    handler_.SetConnectionCounter(server_->Counters().connections);
  }

  [[nodiscard]] ClientRequest Make(std::string_view path) const {
    return {.url = "http://127.0.0.1:" + std::to_string(server_->Port()) +
                   std::string(path)};
  }

  ClientResponse Get(std::string_view path) {
    const ClientResult result = client_.SendAndWait(Make(path));
    return IsOk(result) ? ValueOf(result) : ClientResponse{};
  }

  json GetJson(std::string_view path) { return json::parse(Get(path).body); }

  int SetFaults(std::string_view plan) {
    ClientRequest request = Make("/control/faults");
    request.method = "PUT";
    request.body = plan;
    request.needs_fresh_connection = true;
    const ClientResult result = client_.SendAndWait(request);
    return IsOk(result) ? ValueOf(result).status : 0;
  }

  /// @brief Sends a request that occupies its slot until it is cancelled.
  HttpClient::RequestId SendHeldRequest() {
    return client_.Send(Make("/held"), [](const ClientResult&) {});
  }

  void WaitForOutstanding(std::size_t expected) {
    while (handler_.Outstanding() != expected) {
      std::this_thread::yield();
    }
  }

  TargetHandler handler_;
  std::unique_ptr<HttpServer> server_;
  HttpClient client_{{}};
};

TEST_F(TargetHandlerTest, EchoesRequestAndRecordsRun) {
  ClientRequest request = Make("/order?x=1");
  request.method = "POST";
  request.body = "hello";
  request.headers = {{"Idempotency-Key", "k1"}, {"Medlar-Request-Id", "r1"}};
  const ClientResponse answer = ValueOf(client_.SendAndWait(request));

  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.headers.Find("Medlar-Request-Id"), "r1");
  EXPECT_EQ(json::parse(answer.body)["path"], "/order?x=1");
  const auto list = adapters::ParseRunList(Get("/control/runs").body);
  ASSERT_TRUE(list.has_value());
  ASSERT_EQ(list->runs.size(), 1U);
  EXPECT_EQ(list->runs[0].idempotency_key, "k1");
  EXPECT_EQ(list->runs[0].path, "/order");
  EXPECT_EQ(list->runs[0].count, 1U);
}

// Requests beyond the number of slots are rejected with a header stating that
// they did not run, which lets the caller retry at another target.
TEST_F(TargetHandlerTest,
       ShedsRequestsBeyondItsSlotsAndFreesSlotsOnCancellation) {
  SetFaults(kVeryLongLatency);
  const auto first = SendHeldRequest();
  const auto second = SendHeldRequest();
  WaitForOutstanding(2);
  const ClientResponse shed = Get("/third");
  EXPECT_EQ(shed.status, 503);
  EXPECT_TRUE(shed.headers.Find("Medlar-Target-Not-Run").has_value());
  EXPECT_EQ(GetJson("/load")["outstanding"], 2);

  client_.Cancel(first);
  client_.Cancel(second);
  WaitForOutstanding(0);
  // Cancellations are counted shortly after their slots are free.
  json runs;
  do {
    runs = GetJson("/control/runs");
  } while (runs["cancelled"] != 2);
  EXPECT_EQ(runs["runs"].size(), 1U);
  EXPECT_EQ(runs["runs"][0]["cancelled"], 2);
}

TEST_F(TargetHandlerTest, RequestEndsAtItsDeadline) {
  SetFaults(kVeryLongLatency);
  ClientRequest request = Make("/late");
  request.headers = {{"Medlar-Deadline-Ms", "20"}};
  const ClientResponse late = ValueOf(client_.SendAndWait(request));
  EXPECT_EQ(late.status, 504);
  EXPECT_FALSE(late.headers.Find("Medlar-Target-Not-Run").has_value());

  request.headers = {{"Medlar-Deadline-Ms", "0"}};
  const ClientResponse refused = ValueOf(client_.SendAndWait(request));
  EXPECT_TRUE(refused.headers.Find("Medlar-Target-Not-Run").has_value());
}

TEST_F(TargetHandlerTest, DrainingRejectsNewRequestsAndReportsIt) {
  SetFaults(R"({"draining":true})");
  const ClientResponse answer = Get("/x");
  EXPECT_EQ(answer.status, 503);
  EXPECT_TRUE(answer.headers.Find("Medlar-Target-Not-Run").has_value());
  EXPECT_TRUE(answer.headers.Find("Medlar-Target-Draining").has_value());
  EXPECT_EQ(GetJson("/health")["state"], "draining");
  EXPECT_EQ(GetJson("/load")["draining"], true);

  SetFaults("{}");
  EXPECT_EQ(Get("/x").status, 200);
}

// A device on the path loses the state of open connections: requests on them
// are never answered, while new connections work.
TEST_F(TargetHandlerTest, OpenConnectionsStaySilentAndNewOnesWork) {
  HttpClient old_client({});
  ASSERT_TRUE(IsOk(old_client.SendAndWait(Make("/before"))));
  SetFaults(R"({"silent_connections":true})");
  SetFaults("{}");

  ClientRequest request = Make("/after");
  request.timeout = std::chrono::milliseconds(100);
  const ClientResult silent = old_client.SendAndWait(request);
  ASSERT_FALSE(IsOk(silent));
  EXPECT_EQ(ErrorOf(silent).failure, TransportFailure::kTimedOut);
  request.needs_fresh_connection = true;
  request.timeout = std::chrono::seconds(2);
  EXPECT_TRUE(IsOk(old_client.SendAndWait(request)));
}

TEST_F(TargetHandlerTest, InjectedFaultsChangeResponses) {
  SetFaults(R"({"lying_load":7})");
  EXPECT_EQ(GetJson("/load")["outstanding"], 7);

  SetFaults(R"({"crossed_answer":true})");
  EXPECT_EQ(GetJson("/first")["path"], "/nobody");
  EXPECT_EQ(GetJson("/second")["path"], "/first");

  SetFaults(R"({"run_twice":true})");
  Get("/twice");
  for (const json& run : GetJson("/control/runs")["runs"]) {
    EXPECT_EQ(run["count"], run["path"] == "/twice" ? 2 : 1);
  }

  SetFaults(R"({"truncated_answer":true})");
  const ClientResult cut = client_.SendAndWait(Make("/cut"));
  ASSERT_FALSE(IsOk(cut));
  EXPECT_EQ(ErrorOf(cut).failure, TransportFailure::kTruncated);
}

struct InvalidFaultPlan {
  std::string name;
  std::string json;
  FaultPlanError error;
};

class InvalidFaultPlans : public testing::TestWithParam<InvalidFaultPlan> {};

TEST_P(InvalidFaultPlans, AreRejected) {
  const auto result = ParseFaultPlan(GetParam().json);
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), GetParam().error);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    InvalidFaultPlans,
    testing::Values(InvalidFaultPlan{"Text", "x", FaultPlanError::kNotAnObject},
                    InvalidFaultPlan{"Unknown", R"({"bogus":1})",
                                     FaultPlanError::kUnknownField},
                    InvalidFaultPlan{"NumberForFlag", R"({"shed":1})",
                                     FaultPlanError::kWrongType},
                    InvalidFaultPlan{"TextForNumber", R"({"latency_ms":"1"})",
                                     FaultPlanError::kWrongType}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::standins
