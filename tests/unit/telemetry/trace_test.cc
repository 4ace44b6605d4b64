#include "medlarcroft/telemetry/trace.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "adapters/process/otlp_file_exporter.h"
#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/telemetry/tracer.h"

namespace medlarcroft::telemetry {
namespace {

constexpr std::string_view kHeader =
    "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST(TraceparentTest, FormatsAParsedHeader) {
  const auto result = ParseTraceparent(kHeader);
  ASSERT_TRUE(IsOk(result));
  EXPECT_TRUE(ValueOf(result).is_sampled);
  EXPECT_EQ(FormatTraceparent(ValueOf(result)), kHeader);
}

TEST(TraceparentTest, LaterVersionsMayAppendFields) {
  std::string header = "01" + std::string(kHeader.substr(2)) + "-extra";
  EXPECT_TRUE(IsOk(ParseTraceparent(header)));
}

struct BadHeader {
  std::string name;
  std::string header;
  TraceparentError error;
};

class BadTraceparents : public testing::TestWithParam<BadHeader> {};

TEST_P(BadTraceparents, AreRejectedWithTheirReason) {
  const auto result = ParseTraceparent(GetParam().header);
  ASSERT_FALSE(IsOk(result));
  EXPECT_EQ(ErrorOf(result), GetParam().error);
}

std::string WithReplacement(std::size_t position, std::string_view text) {
  std::string header(kHeader);
  header.replace(position, text.size(), text);
  return header;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    BadTraceparents,
    testing::Values(BadHeader{"Empty", "", TraceparentError::kBadLength},
                    BadHeader{"Short", std::string(kHeader.substr(0, 54)),
                              TraceparentError::kBadLength},
                    BadHeader{"Long", std::string(kHeader) + "-x",
                              TraceparentError::kBadLength},
                    BadHeader{"VersionFf", WithReplacement(0, "ff"),
                              TraceparentError::kBadVersion},
                    BadHeader{"VersionText", WithReplacement(0, "zz"),
                              TraceparentError::kBadVersion},
                    BadHeader{"Separator", WithReplacement(35, "x"),
                              TraceparentError::kBadSeparator},
                    BadHeader{"LaterSeparator", WithReplacement(0, "01") + "x",
                              TraceparentError::kBadSeparator},
                    BadHeader{"UpperCase", WithReplacement(3, "4BF9"),
                              TraceparentError::kBadDigit},
                    BadHeader{"Flags", WithReplacement(53, "0g"),
                              TraceparentError::kBadDigit},
                    BadHeader{"ZeroTrace",
                              WithReplacement(3, std::string(32, '0')),
                              TraceparentError::kZeroId},
                    BadHeader{"ZeroSpan",
                              WithReplacement(36, std::string(16, '0')),
                              TraceparentError::kZeroId}),
    [](const auto& info) { return info.param.name; });

class CollectingExporter final : public SpanExporter {
 public:
  void Export(Span span) override { spans.push_back(std::move(span)); }
  std::vector<Span> spans;
};

class TracerTest : public testing::Test {
 protected:
  fakes::ManualClock clock_;
  fakes::SeededRandom random_{7};
  CollectingExporter exporter_;
};

TEST_F(TracerTest, SpansOfOneTraceAreLinked) {
  Tracer tracer(clock_, random_, exporter_, 1.0);
  ActiveSpan server = tracer.Start("entry", SpanKind::kServer, std::nullopt);
  ActiveSpan client =
      tracer.Start("target", SpanKind::kClient, server.Context());
  client.SetAttribute("medlar.outcome", std::string("ran"));
  clock_.Advance(std::chrono::milliseconds(5));
  client.End();
  client.End();
  server.End();

  ASSERT_EQ(exporter_.spans.size(), 2U);
  EXPECT_EQ(exporter_.spans[0].parent, exporter_.spans[1].context.span_id);
  EXPECT_EQ(exporter_.spans[0].context.trace_id,
            exporter_.spans[1].context.trace_id);
  EXPECT_EQ(exporter_.spans[0].duration, std::chrono::milliseconds(5));
  EXPECT_EQ(exporter_.spans[0].attributes.size(), 1U);
}

// If each service decided by itself, traces would be incomplete: all keep the
// decision of the first one, whatever their own sampling fraction is.
TEST_F(TracerTest, SamplingDecisionOfTheCallerTakesPrecedence) {
  Tracer always(clock_, random_, exporter_, 1.0);
  Tracer never(clock_, random_, exporter_, 0.0);
  TraceContext caller = ValueOf(ParseTraceparent(kHeader));
  caller.is_sampled = false;
  always.Start("a", SpanKind::kServer, caller).End();
  EXPECT_TRUE(exporter_.spans.empty());

  caller.is_sampled = true;
  never.Start("a", SpanKind::kServer, caller).End();
  EXPECT_EQ(exporter_.spans.size(), 1U);
}

TEST_F(TracerTest, SamplesTheConfiguredFraction) {
  Tracer tracer(clock_, random_, exporter_, 0.25);
  for (int i = 0; i < 4000; ++i) {
    tracer.Start("a", SpanKind::kServer, std::nullopt).End();
  }
  EXPECT_NEAR(static_cast<double>(exporter_.spans.size()) / 4000, 0.25, 0.03);
}

TEST_F(TracerTest, ExporterWritesOtlpJsonLines) {
  std::ostringstream out;
  {
    adapters::OtlpFileExporter exporter(
        out, {.program = "p", .host = "h", .failure_domain = "d"});
    Tracer tracer(clock_, random_, exporter, 1.0);
    ActiveSpan span = tracer.Start("entry", SpanKind::kServer,
                                   ValueOf(ParseTraceparent(kHeader)));
    span.SetAttribute("medlar.attempts", std::int64_t{2});
  }

  const auto document = nlohmann::json::parse(out.str());
  const auto& resource = document["resourceSpans"][0];
  EXPECT_EQ(resource["resource"]["attributes"][0]["value"]["stringValue"], "p");
  const auto& span = resource["scopeSpans"][0]["spans"][0];
  EXPECT_EQ(span["traceId"], "4bf92f3577b34da6a3ce929d0e0e4736");
  EXPECT_EQ(span["parentSpanId"], "00f067aa0ba902b7");
  EXPECT_EQ(span["kind"], 2);
  EXPECT_EQ(span["attributes"][0]["value"]["intValue"], "2");
  EXPECT_EQ(out.str().back(), '\n');
}

}  // namespace
}  // namespace medlarcroft::telemetry
