#include "adapters/entry/target_poller.h"

#include <gtest/gtest.h>

namespace medlarcroft::adapters {
namespace {

struct BadReport {
  std::string_view name;
  std::string_view text;
};

class BadTargetReport : public testing::TestWithParam<BadReport> {};

// A target's load page is broken or not its own. A wrong number would move
// requests to or from it, so nothing of such a report may be taken.
TEST_P(BadTargetReport, FeedsNothing) {
  EXPECT_FALSE(ParseTargetReport(GetParam().text).has_value());
}

INSTANTIATE_TEST_SUITE_P(
    Reports,
    BadTargetReport,
    testing::Values(
        BadReport{"Empty", ""},
        BadReport{"NotJson", "<html>busy</html>"},
        BadReport{"CutOff", R"({"outstanding":3,"slo)"},
        BadReport{"List", "[3]"},
        BadReport{"NoCount", R"({"slots":3,"draining":true})"},
        BadReport{"Negative", R"({"outstanding":-1})"},
        BadReport{"Fraction", R"({"outstanding":1.5})"},
        BadReport{"TooLarge", R"({"outstanding":4294967296})"},
        BadReport{"Text", R"({"outstanding":"3"})"},
        BadReport{"DrainingText", R"({"outstanding":3,"draining":"no"})"},
        BadReport{"NegativeAge", R"({"outstanding":3,"age_ms":-5})"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(TargetReport, IsReadWithWhatItLeavesOut) {
  const auto whole = ParseTargetReport(
      R"({"outstanding":3,"slots":4,"draining":true,"age_ms":250})");
  ASSERT_TRUE(whole.has_value());
  EXPECT_EQ(whole->outstanding, 3U);
  EXPECT_EQ(whole->is_draining, std::optional(true));
  EXPECT_EQ(whole->age,
            std::optional<Duration>(std::chrono::milliseconds(250)));

  const auto least = ParseTargetReport(R"({"outstanding":0})");
  ASSERT_TRUE(least.has_value());
  EXPECT_FALSE(least->is_draining.has_value());
  EXPECT_FALSE(least->age.has_value());
}

struct HealthCase {
  std::string_view name;
  int status;
  std::string_view body;
  bool is_draining;
};

class HealthAnswer : public testing::TestWithParam<HealthCase> {};

TEST_P(HealthAnswer, SaysDrainingOnlyInItsOwnWords) {
  EXPECT_EQ(IsDrainingResponse({.status = GetParam().status,
                                .body = std::string(GetParam().body)}),
            GetParam().is_draining);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    HealthAnswer,
    testing::Values(HealthCase{"Drains", 503, R"({"state":"draining"})", true},
                    HealthCase{"Serves", 200, R"({"state":"serving"})", false},
                    HealthCase{"ByAProxy", 503, "<html>", false},
                    HealthCase{"OtherState", 503, R"({"state":"cold"})", false},
                    HealthCase{"NoState", 503, "{}", false}),
    [](const auto& info) { return std::string(info.param.name); });

// A domain of 52 hosts would ask a target of 3 slots 52 times a second; the
// period grows with the hosts, so that a target is asked about once.
TEST(PollPeriod, GrowsWithTheHostsOfTheDomainWithinBounds) {
  EXPECT_EQ(PollPeriodFor(0), std::chrono::seconds(1));
  EXPECT_EQ(PollPeriodFor(1), std::chrono::seconds(1));
  EXPECT_EQ(PollPeriodFor(2), std::chrono::seconds(2));
  EXPECT_EQ(PollPeriodFor(20), std::chrono::seconds(20));
  EXPECT_EQ(PollPeriodFor(52), std::chrono::seconds(20));
}

}  // namespace
}  // namespace medlarcroft::adapters
