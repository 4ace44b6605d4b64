#include "adapters/forward/request_telemetry.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "adapters/process/log.h"
#include "fakes/manual_clock.h"

namespace medlarcroft::adapters {
namespace {

using request_path::AttemptEnd;
using std::chrono::milliseconds;

constexpr ResponseProof kRefusal{
    .status = 503,
    .connection = {.is_reused = true, .earlier_responses = 3}};

/// @brief The log lines of each request, in order.
using LinesByRequest = std::map<std::string, std::vector<nlohmann::json>>;

class RequestTelemetryTest : public testing::Test {
 protected:
  RequestTelemetryTest() {
    testing::internal::CaptureStdout();
    StartLogging({.program = "p",
                  .host = "h",
                  .failure_domain = "d",
                  .output = LogOutput::kStandardOutput});
  }

  static LinesByRequest ParseLog() {
    std::istringstream text(testing::internal::GetCapturedStdout());
    LinesByRequest lines;
    for (std::string line; std::getline(text, line);) {
      auto parsed = nlohmann::json::parse(line);
      const std::string request = parsed["request"];
      lines[request].push_back(std::move(parsed));
    }
    return lines;
  }

  /// Sends a request twice: the first send is refused, the second one is lost.
  void RunFailedOrder(const std::string& id) {
    RequestLogBuffer lines;
    for (request_path::AttemptNumber number = 1; number <= 2; ++number) {
      const request_path::SendAttempt attempt{
          .attempt = number,
          .target = {TargetName("ledger-1")},
          .address = "10.1.2.3:8480",
          .region = RegionName("kigali")};
      telemetry_.OnSend(lines, id, order_route_, attempt);
      clock_.Advance(milliseconds(1));
      telemetry_.OnAttemptEnd(
          lines, id, attempt,
          number == 1 ? AttemptEnd::kNotRun : AttemptEnd::kLost,
          milliseconds(number),
          number == 1 ? std::optional(kRefusal) : std::nullopt);
    }
    DecodedRequest call;
    call.id = id;
    telemetry_.OnEnding(
        lines, call, {.route = std::make_shared<routing::Route>(order_route_)},
        {.reason = request_path::FailureReason::kMayHaveRun,
         .is_not_run = false},
        1, milliseconds(2));
  }

  void RunAnsweredLookup(const std::string& id) {
    RequestLogBuffer lines;
    telemetry_.OnSend(lines, id, lookup_route_, {.attempt = 1});
    telemetry_.OnAnswer(lines, id, lookup_route_, 200, milliseconds(5));
  }

  fakes::ManualClock clock_;
  telemetry::MetricsRegistry metrics_;
  RequestTelemetry telemetry_{metrics_, clock_};
  const routing::Route order_route_{.name = "orders"};
  const routing::Route lookup_route_{.name = "lookups",
                                     .kind = routing::RequestKind::kIdempotent};
};

// An operator searches the log for the identifier of an order that failed with
// status 502, in a second with hundreds of requests. If lines were limited one
// by one, up to a number of each event, the log would contain the end of the
// order without its sends, or nothing.
TEST_F(RequestTelemetryTest, ALoggedRequestHasAllItsLines) {
  constexpr int kRequests = 300;
  constexpr int kFailurePeriod = 30;
  for (int number = 0; number < kRequests; ++number) {
    const std::string id = std::to_string(number);
    if (number % kFailurePeriod == 0) {
      RunFailedOrder("order-" + id);
    } else {
      RunAnsweredLookup("lookup-" + id);
    }
  }
  const LinesByRequest lines_by_request = ParseLog();

  int orders = 0;
  for (const auto& [id, lines] : lines_by_request) {
    const bool is_order = id.starts_with("order");
    orders += is_order ? 1 : 0;
    ASSERT_EQ(lines.size(), is_order ? 5U : 2U) << id;
    EXPECT_EQ(lines.front()["event"], "request-placed") << id;
    EXPECT_EQ(lines.back()["event"],
              is_order ? "request-failed" : "request-answered")
        << id;
  }
  EXPECT_EQ(orders, kRequests / kFailurePeriod);
  EXPECT_LT(lines_by_request.size(), std::size_t{kRequests} / 2);
}

// Guards against a refusal of which the log does not say why it is believed.
TEST_F(RequestTelemetryTest, ARefusalIsLoggedWithItsProof) {
  RunFailedOrder("order");
  const LinesByRequest lines_by_request = ParseLog();
  const nlohmann::json& refusal = lines_by_request.at("order")[1];
  EXPECT_EQ(refusal["end"], "not-run");
  EXPECT_EQ(refusal["target"], "ledger-1");
  EXPECT_EQ(refusal["status"], kRefusal.status);
  EXPECT_EQ(refusal["has_id"], false);
  EXPECT_EQ(refusal["is_connection_reused"], true);
  EXPECT_EQ(refusal["earlier_responses"], 3);
}

// Buffered lines have the time of their event, not the time at which the
// request was selected for the log.
TEST_F(RequestTelemetryTest, BufferedLinesKeepTheirTimes) {
  for (int number = 0; number < 100; ++number) {
    RunAnsweredLookup("lookup-" + std::to_string(number));
  }
  RunFailedOrder("order");
  const LinesByRequest lines_by_request = ParseLog();

  ASSERT_TRUE(lines_by_request.contains("order"));
  const auto& lines = lines_by_request.at("order");
  for (std::size_t i = 1; i < lines.size(); ++i) {
    EXPECT_LE(lines[i - 1]["time"], lines[i]["time"]);
  }
  EXPECT_LT(lines.front()["time"], lines.back()["time"]);
  EXPECT_GT(lines.back()["held_back"], 0);
}

}  // namespace
}  // namespace medlarcroft::adapters
