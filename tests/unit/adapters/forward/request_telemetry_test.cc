#include "adapters/forward/request_telemetry.h"

#include <gtest/gtest.h>

#include <map>
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

/// @brief The lines of each request, in order.
using LinesOf = std::map<std::string, std::vector<nlohmann::json>>;

class RequestTelemetryTest : public testing::Test {
 protected:
  RequestTelemetryTest() {
    testing::internal::CaptureStdout();
    StartLogging({.program = "p",
                  .host = "h",
                  .failure_domain = "d",
                  .output = LogOutput::kStandardOutput});
  }

  static LinesOf Written() {
    std::istringstream text(testing::internal::GetCapturedStdout());
    LinesOf lines;
    for (std::string line; std::getline(text, line);) {
      auto parsed = nlohmann::json::parse(line);
      const std::string request = parsed["request"];
      lines[request].push_back(std::move(parsed));
    }
    return lines;
  }

  /// Two sends, of which the first is refused and the second is lost.
  void PlayOrderThatFails(const std::string& id) {
    RequestLogBuffer lines;
    for (request_path::AttemptNumber number = 1; number <= 2; ++number) {
      const request_path::SendAttempt attempt{
          .attempt = number,
          .target = {TargetName("ledger-1")},
          .address = "10.1.2.3:8480",
          .region = RegionName("kigali")};
      telemetry_.OnSend(lines, id, order_, attempt);
      clock_.Advance(milliseconds(1));
      telemetry_.OnAttemptEnd(
          lines, id, attempt,
          number == 1 ? AttemptEnd::kNotRun : AttemptEnd::kLost,
          milliseconds(number));
    }
    DecodedRequest call;
    call.id = id;
    telemetry_.OnEnding(lines, call, &order_,
                        {.reason = request_path::FailureReason::kMayHaveRun,
                         .is_not_run = false},
                        1, milliseconds(2));
  }

  void PlayAnswered(const std::string& id) {
    RequestLogBuffer lines;
    telemetry_.OnSend(lines, id, lookup_, {.attempt = 1});
    telemetry_.OnAnswer(lines, id, lookup_, 200, milliseconds(5));
  }

  fakes::ManualClock clock_;
  telemetry::MetricsRegistry metrics_;
  RequestTelemetry telemetry_{metrics_, clock_};
  const routing::Route order_{.name = "orders"};
  const routing::Route lookup_{.name = "lookups",
                               .kind = routing::RequestKind::kIdempotent};
};

// An operator looks for the id of an order that got 502, from a second in which
// hundreds of requests came. Were lines written as they come, up to a number of
// each name, he would find its end without its sends, or nothing.
TEST_F(RequestTelemetryTest, AnIdThatIsFoundIsFoundWhole) {
  constexpr int kRequests = 300;
  constexpr int kEachFails = 30;
  for (int number = 0; number < kRequests; ++number) {
    const std::string id = std::to_string(number);
    if (number % kEachFails == 0) {
      PlayOrderThatFails("order-" + id);
    } else {
      PlayAnswered("lookup-" + id);
    }
  }
  const LinesOf written = Written();

  int orders = 0;
  for (const auto& [id, lines] : written) {
    const bool is_order = id.starts_with("order");
    orders += is_order ? 1 : 0;
    ASSERT_EQ(lines.size(), is_order ? 5U : 2U) << id;
    EXPECT_EQ(lines.front()["event"], "request-placed") << id;
    EXPECT_EQ(lines.back()["event"],
              is_order ? "request-failed" : "request-answered")
        << id;
  }
  EXPECT_EQ(orders, kRequests / kEachFails);
  EXPECT_LT(written.size(), std::size_t{kRequests} / 2);
}

// Lines that were kept back tell when things happened, not when it was known
// that the request is logged.
TEST_F(RequestTelemetryTest, LinesThatWereKeptHaveTheirOwnTimes) {
  for (int number = 0; number < 100; ++number) {
    PlayAnswered("lookup-" + std::to_string(number));
  }
  PlayOrderThatFails("order");
  const LinesOf written = Written();

  ASSERT_TRUE(written.contains("order"));
  const auto& lines = written.at("order");
  for (std::size_t i = 1; i < lines.size(); ++i) {
    EXPECT_LE(lines[i - 1]["time"], lines[i]["time"]);
  }
  EXPECT_LT(lines.front()["time"], lines.back()["time"]);
  EXPECT_GT(lines.back()["held_back"], 0);
}

}  // namespace
}  // namespace medlarcroft::adapters
