#include "medlarcroft/peer_updates/update_timing.h"

#include <gtest/gtest.h>

#include "medlarcroft/peer_updates/peer_update.h"

namespace medlarcroft::peer_updates {
namespace {

using std::chrono::milliseconds;

struct PaceCase {
  std::size_t peers;
  bool is_told_directly;
  Duration news_delay;
};

class NewsPaceTable : public testing::TestWithParam<PaceCase> {};

// Alone a host tells nobody and waits for nothing; in the largest region news
// still comes while an object's first work is under way.
TEST_P(NewsPaceTable, GrowsSlowerThanTheRegion) {
  EXPECT_EQ(UsesDirectDelivery(GetParam().peers), GetParam().is_told_directly);
  EXPECT_EQ(PlacedNewsDelay(GetParam().peers), GetParam().news_delay);
}

INSTANTIATE_TEST_SUITE_P(All,
                         NewsPaceTable,
                         testing::Values(PaceCase{0, true, milliseconds(0)},
                                         PaceCase{3, true, milliseconds(6)},
                                         PaceCase{8, true, milliseconds(16)},
                                         PaceCase{9, false, milliseconds(18)},
                                         PaceCase{29, false, milliseconds(58)},
                                         PaceCase{879, false,
                                                  milliseconds(200)}));

// The same of what it tells in a region without relays: its loads, and the
// headers of its datagrams.
TEST(NewsPaceTest, NewsToldDirectlyFitsTheBytesOfControl) {
  constexpr double kControlBytesPerSecond = 7000;
  constexpr double kLoadsASecond = 50;
  constexpr double kHeaderBytes = 53;
  const double to_each = kLoadsASecond * static_cast<double>(kLoadBytes) +
                         kHeaderBytes / ToSeconds(kReportBatchDelay);
  EXPECT_LT(to_each * static_cast<double>(kMaxDirectPeers),
            kControlBytesPerSecond);
}

// What a host hears from relays stays within what its control may take,
// whatever the region's size.
TEST(NewsPaceTest, DigestsFitTheBytesOfControl) {
  constexpr double kControlBytesPerSecond = 7000;
  constexpr std::size_t kEnvelope = 60;
  const double each_second = static_cast<double>(kMostDigestBytes + kEnvelope) /
                             ToSeconds(kRelayPeriod);
  EXPECT_LT(each_second, kControlBytesPerSecond);
}

}  // namespace
}  // namespace medlarcroft::peer_updates
