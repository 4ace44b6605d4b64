#include "adapters/forward/request_trace.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"

namespace medlarcroft::adapters {
namespace {

using request_path::AttemptEnd;
using request_path::SendAttempt;

constexpr std::string_view kSampled =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
constexpr std::string_view kNotSampled =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00";

class SpanRecorder final : public telemetry::SpanExporter {
 public:
  void Export(telemetry::Span span) override {
    spans.push_back(std::move(span));
  }
  std::vector<telemetry::Span> spans;
};

class RequestTraceTest : public testing::Test {
 protected:
  static HttpRequest MakeCall(std::string_view parent) {
    HttpRequest call;
    call.headers.Add("traceparent", parent);
    return call;
  }
  static SendAttempt MakeAttempt(const std::string& target,
                                 request_path::AttemptNumber number) {
    return {.attempt = number, .target = {TargetName(target)}};
  }

  fakes::ManualClock clock_;
  fakes::SeededRandom random_{3};
  SpanRecorder exported_;
  telemetry::Tracer tracer_{clock_, random_, exported_, 0.0};
};

// The first send of a look-up is lost, and the second one is answered. The
// trace shows the host's span and below it both sends with their results, and
// each target receives the span of its own send as parent.
TEST_F(RequestTraceTest, ExportsOneSpanForTheHostAndOnePerSend) {
  HttpRequest call = MakeCall(kSampled);
  RequestTrace trace(tracer_, call, "r-1");
  trace.OnSend(MakeAttempt("a", 1), call);
  const std::string first(*call.headers.Find("traceparent"));
  trace.OnAttemptEnd(1, AttemptEnd::kLost);
  trace.OnSend(MakeAttempt("b", 2), call);
  const std::string second(*call.headers.Find("traceparent"));
  trace.OnAttemptEnd(2, AttemptEnd::kAnswered);
  trace.OnAnswer(200);

  ASSERT_EQ(exported_.spans.size(), 3U);
  const telemetry::Span& lost = exported_.spans[0];
  const telemetry::Span& answered = exported_.spans[1];
  const telemetry::Span& host = exported_.spans[2];
  EXPECT_EQ(lost.status, telemetry::SpanStatus::kError);
  EXPECT_EQ(answered.status, telemetry::SpanStatus::kOk);
  EXPECT_EQ(lost.parent, host.context.span_id);
  EXPECT_EQ(answered.parent, host.context.span_id);
  EXPECT_EQ(telemetry::FormatTraceparent(lost.context), first);
  EXPECT_EQ(telemetry::FormatTraceparent(answered.context), second);
  EXPECT_EQ(telemetry::FormatId(host.context.trace_id),
            "4bf92f3577b34da6a3ce929d0e0e4736");
}

// A send that is abandoned when the request ends still has its span.
TEST_F(RequestTraceTest, AnAbandonedSendEndsWithTheRequest) {
  HttpRequest call = MakeCall(kSampled);
  RequestTrace trace(tracer_, call, "r-1");
  trace.OnSend(MakeAttempt("a", 1), call);
  trace.OnEnding({.reason = request_path::FailureReason::kTimedOut});

  EXPECT_EQ(exported_.spans.size(), 2U);
}

class UnsampledTraceTest
    : public RequestTraceTest,
      public testing::WithParamInterface<std::string_view> {};

// A request that is not sampled has no spans, and the target receives the
// caller's header.
TEST_P(UnsampledTraceTest, ForwardsTheCallersHeaderUnchanged) {
  HttpRequest call = MakeCall(GetParam());
  RequestTrace trace(tracer_, call, "r-1");
  trace.OnSend(MakeAttempt("a", 1), call);
  trace.OnAttemptEnd(1, AttemptEnd::kAnswered);
  trace.OnAnswer(200);

  EXPECT_TRUE(exported_.spans.empty());
  EXPECT_EQ(call.headers.Find("traceparent"), GetParam());
}

INSTANTIATE_TEST_SUITE_P(All,
                         UnsampledTraceTest,
                         testing::Values(kNotSampled,
                                         std::string_view("no parent")));

}  // namespace
}  // namespace medlarcroft::adapters
