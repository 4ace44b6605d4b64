#include "adapters/entry/target_poller.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

struct InvalidReportCase {
  std::string_view name;
  std::string_view text;
};

class InvalidTargetReportTest
    : public testing::TestWithParam<InvalidReportCase> {};

// The response to a load poll is malformed or comes from something other than
// the target. A wrong number would move requests to or away from the target, so
// no part of such a report may be used.
TEST_P(InvalidTargetReportTest, IsRejected) {
  EXPECT_FALSE(ParseTargetReport(GetParam().text).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Reports,
    InvalidTargetReportTest,
    testing::Values(
        InvalidReportCase{"Empty", ""},
        InvalidReportCase{"NotJson", "<html>busy</html>"},
        InvalidReportCase{"Truncated", R"({"outstanding":3,"slo)"},
        InvalidReportCase{"List", "[3]"},
        InvalidReportCase{"NoCount", R"({"slots":3,"draining":true})"},
        InvalidReportCase{"Negative", R"({"outstanding":-1})"},
        InvalidReportCase{"Fraction", R"({"outstanding":1.5})"},
        InvalidReportCase{"TooLarge", R"({"outstanding":4294967296})"},
        InvalidReportCase{"Text", R"({"outstanding":"3"})"},
        InvalidReportCase{"DrainingText",
                          R"({"outstanding":3,"draining":"no"})"},
        InvalidReportCase{"NegativeAge", R"({"outstanding":3,"age_ms":-5})"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(TargetReport, ParsesOptionalFields) {
  const auto complete = ParseTargetReport(
      R"({"outstanding":3,"slots":4,"draining":true,"age_ms":250})");
  ASSERT_TRUE(complete.has_value());
  EXPECT_EQ(complete->outstanding, 3U);
  EXPECT_EQ(complete->is_draining, std::optional(true));
  EXPECT_EQ(complete->age,
            std::optional<Duration>(std::chrono::milliseconds(250)));

  const auto minimal = ParseTargetReport(R"({"outstanding":0})");
  ASSERT_TRUE(minimal.has_value());
  EXPECT_FALSE(minimal->is_draining.has_value());
  EXPECT_FALSE(minimal->age.has_value());
}

struct HealthCase {
  std::string_view name;
  int status;
  std::string_view body;
  bool is_draining;
};

class HealthResponseTest : public testing::TestWithParam<HealthCase> {};

TEST_P(HealthResponseTest, IsDrainingOnlyWithStatusAndState) {
  EXPECT_EQ(IsDrainingResponse({.status = GetParam().status,
                                .body = std::string(GetParam().body)}),
            GetParam().is_draining);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    HealthResponseTest,
    testing::Values(HealthCase{"Drains", 503, R"({"state":"draining"})", true},
                    HealthCase{"Serves", 200, R"({"state":"serving"})", false},
                    HealthCase{"FromProxy", 503, "<html>", false},
                    HealthCase{"OtherState", 503, R"({"state":"cold"})", false},
                    HealthCase{"NoState", 503, "{}", false}),
    [](const auto& info) { return std::string(info.param.name); });

// With a fixed period, the 52 hosts of a failure domain would poll a target of
// 3 slots 52 times a second. The period grows with the number of hosts, so that
// a target gets about one poll a second.
TEST(PollPeriod, ScalesWithHostCountWithinBounds) {
  EXPECT_EQ(PollPeriodFor(0), std::chrono::seconds(1));
  EXPECT_EQ(PollPeriodFor(1), std::chrono::seconds(1));
  EXPECT_EQ(PollPeriodFor(2), std::chrono::seconds(2));
  EXPECT_EQ(PollPeriodFor(20), std::chrono::seconds(20));
  EXPECT_EQ(PollPeriodFor(52), std::chrono::seconds(20));
}

}  // namespace
}  // namespace medlarcroft::adapters
