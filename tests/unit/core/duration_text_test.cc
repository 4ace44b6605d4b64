#include "medlarcroft/core/duration_text.h"

#include <gtest/gtest.h>

namespace medlarcroft {
namespace {

struct DurationCase {
  std::string_view text;
  std::optional<Duration> duration;
};

class DurationTextTable : public testing::TestWithParam<DurationCase> {};

TEST_P(DurationTextTable, ParsesANumberWithItsUnit) {
  EXPECT_EQ(ParseDuration(GetParam().text), GetParam().duration);
}

using std::chrono::milliseconds;

INSTANTIATE_TEST_SUITE_P(
    All,
    DurationTextTable,
    testing::Values(DurationCase{"1500ms", milliseconds(1500)},
                    DurationCase{"2.5s", milliseconds(2500)},
                    DurationCase{"0ms", milliseconds(0)},
                    DurationCase{"", std::nullopt},
                    DurationCase{"12", std::nullopt},
                    DurationCase{"ms", std::nullopt},
                    DurationCase{"-1s", std::nullopt},
                    DurationCase{"1m", std::nullopt},
                    DurationCase{"1 s", std::nullopt},
                    DurationCase{"nans", std::nullopt},
                    DurationCase{"1e300s", std::nullopt}));

TEST(DurationTextTest, ParsesAFormattedDuration) {
  EXPECT_EQ(ParseDuration(FormatDuration(milliseconds(1234))),
            Duration(milliseconds(1234)));
}

}  // namespace
}  // namespace medlarcroft
