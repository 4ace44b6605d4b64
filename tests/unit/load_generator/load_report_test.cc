#include "medlarcroft/load_generator/load_report.h"

#include <gtest/gtest.h>

#include "medlarcroft/load_generator/plot.h"
#include "medlarcroft/load_generator/report_comparison.h"
#include "medlarcroft/load_generator/report_page.h"

namespace medlarcroft::load_generator {
namespace {

LoadReport MakeReport(double p99_ms,
                      std::uint64_t refused,
                      std::uint64_t intended = 2000) {
  return {.name = "a <run>",
          .duration_s = 2,
          .classes = {{.service = "lookup-desk",
                       .counts = {.intended = intended,
                                  .ran = intended - refused,
                                  .refused = refused},
                       .latency = {.p50_ms = 5, .p99_ms = p99_ms},
                       .causes = {{"no-share", refused}}}},
          .seconds = {{.counts = {.intended = 500}, .p50_ms = 5, .p99_ms = 9},
                      {.counts = {.intended = 500},
                       .p50_ms = 6,
                       .p99_ms = 11,
                       .headroom = 0.4}}};
}

TEST(LoadReportTest, JsonRoundTrips) {
  const LoadReport report = MakeReport(10, 3);
  const auto again = ParseReportJson(FormatReportJson(report));
  ASSERT_TRUE(IsOk(again));
  EXPECT_EQ(FormatReportJson(ValueOf(again)), FormatReportJson(report));
  EXPECT_EQ(ValueOf(again).seconds[1].headroom, 0.4);
  EXPECT_EQ(ValueOf(again).seconds[0].headroom, std::nullopt);
}

TEST(LoadReportTest, RejectsOtherFiles) {
  EXPECT_EQ(ErrorOf(ParseReportJson("x")), ReportParseError::kNotJson);
  EXPECT_EQ(ErrorOf(ParseReportJson("{}")), ReportParseError::kMissingField);
  EXPECT_EQ(ErrorOf(ParseReportJson(R"({"name":3})")),
            ReportParseError::kMissingField);
}

struct ComparisonCase {
  std::string name;
  double p99_before;
  double p99_after;
  std::uint64_t refused_after;
  bool is_worse;
};

class Comparisons : public testing::TestWithParam<ComparisonCase> {};

TEST_P(Comparisons, DetectWorseRuns) {
  const ComparisonCase& expected = GetParam();
  const auto rows =
      CompareReports(MakeReport(expected.p99_before, 3),
                     MakeReport(expected.p99_after, expected.refused_after));
  ASSERT_EQ(rows.size(), 1U);
  EXPECT_EQ(rows[0].is_worse, expected.is_worse);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Comparisons,
    testing::Values(ComparisonCase{"Same", 20, 20, 3, false},
                    ComparisonCase{"ALittleSlower", 20, 24, 3, false},
                    ComparisonCase{"MuchSlower", 20, 30, 3, true},
                    ComparisonCase{"NoiseAtLowLatency", 1, 2.5, 3, false},
                    ComparisonCase{"MoreRefused", 20, 20, 60, true}),
    [](const auto& info) { return info.param.name; });

// Guards against false alarms between runs of the same system: with about a
// hundred requests, p99 is set by the slowest one or two and varies at random,
// so the compared quantile depends on the number of requests.
TEST(ReportComparisonTest, FewRequestsAreNotComparedByP99) {
  const auto rows =
      CompareReports(MakeReport(20, 0, 110), MakeReport(40, 0, 110));
  EXPECT_EQ(rows[0].quantile, "p90");
  EXPECT_FALSE(rows[0].is_worse);
  const auto few = CompareReports(MakeReport(20, 0, 50), MakeReport(40, 0, 50));
  EXPECT_EQ(few[0].quantile, "p50");
}

// The page is opened from mails and tickets, so it must render without network
// access, and a hostile run name must not become markup.
TEST(ReportPageTest, IsSelfContainedAndEscaped) {
  const std::string page =
      FormatReportPage(MakeReport(10, 3), MakeReport(9, 2));
  for (const std::string_view part : {"<svg", "Latency", "refused", "Headroom",
                                      "a &lt;run&gt;", "Compared with"}) {
    EXPECT_NE(page.find(part), std::string::npos) << part;
  }
  for (const std::string_view part : {"http", "src=", "href=", "<run>"}) {
    EXPECT_EQ(page.find(part), std::string::npos) << part;
  }
}

TEST(PlotTest, MissingValuesLeaveGaps) {
  const std::vector<PlotLine> lines = {
      {.name = "x", .values = {1.0, 2.0, std::nullopt, 4.0}}};
  const std::string svg = DrawPlot({.title = "t", .unit = "u"}, lines);
  const auto path = svg.find(" d='");
  ASSERT_NE(path, std::string::npos);
  const std::string drawn = svg.substr(path, svg.find("'/>", path) - path);
  EXPECT_EQ(std::count(drawn.begin(), drawn.end(), 'M'), 2);
  EXPECT_EQ(std::count(drawn.begin(), drawn.end(), 'L'), 1);
}

TEST(PlotTest, EmptyPlotIsDrawn) {
  EXPECT_NE(DrawPlot({.title = "t"}, {}).find("<svg"), std::string::npos);
}

}  // namespace
}  // namespace medlarcroft::load_generator
