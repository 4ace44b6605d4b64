#include "medlarcroft/membership/news_pace.h"

#include <gtest/gtest.h>

namespace medlarcroft::membership {
namespace {

using std::chrono::milliseconds;

struct PaceCase {
  std::size_t peers;
  std::uint32_t beat_spacing;
  Duration news_delay;
};

class NewsPaceTable : public testing::TestWithParam<PaceCase> {};

// Alone a host tells nobody and waits for nothing; in the largest region news
// still comes while an object's first work is under way.
TEST_P(NewsPaceTable, GrowsSlowerThanTheRegion) {
  EXPECT_EQ(BeatSpacing(GetParam().peers), GetParam().beat_spacing);
  EXPECT_EQ(PlacedNewsDelay(GetParam().peers), GetParam().news_delay);
}

INSTANTIATE_TEST_SUITE_P(All,
                         NewsPaceTable,
                         testing::Values(PaceCase{0, 1, milliseconds(0)},
                                         PaceCase{3, 1, milliseconds(6)},
                                         PaceCase{29, 1, milliseconds(58)},
                                         PaceCase{50, 2, milliseconds(100)},
                                         PaceCase{125, 3, milliseconds(200)},
                                         PaceCase{879, 18, milliseconds(200)}));

}  // namespace
}  // namespace medlarcroft::membership
