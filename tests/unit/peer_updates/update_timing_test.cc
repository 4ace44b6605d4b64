#include "medlarcroft/peer_updates/update_timing.h"

#include <gtest/gtest.h>

#include "medlarcroft/peer_updates/peer_update.h"

namespace medlarcroft::peer_updates {
namespace {

using std::chrono::milliseconds;

struct TimingCase {
  std::size_t peers;
  bool uses_direct_delivery;
  Duration batch_delay;
};

class UpdateTimingTable : public testing::TestWithParam<TimingCase> {};

// A host without peers has no batch delay; in the largest region the delay
// stays below the time that a target takes to process an object for the first
// time.
TEST_P(UpdateTimingTable, DelayGrowsSlowerThanTheRegion) {
  EXPECT_EQ(UsesDirectDelivery(GetParam().peers),
            GetParam().uses_direct_delivery);
  EXPECT_EQ(PlacementBatchDelay(GetParam().peers), GetParam().batch_delay);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UpdateTimingTable,
    testing::Values(TimingCase{0, true, milliseconds(0)},
                    TimingCase{3, true, milliseconds(6)},
                    TimingCase{8, true, milliseconds(16)},
                    TimingCase{9, false, milliseconds(18)},
                    TimingCase{29, false, milliseconds(58)},
                    TimingCase{879, false, milliseconds(200)}));

// In a region without relays, a host's loads and the headers of its datagrams
// must fit in the bandwidth for control traffic.
TEST(UpdateTimingTest, DirectUpdatesFitTheControlBandwidth) {
  constexpr double kControlBytesPerSecond = 7000;
  constexpr double kLoadsPerSecond = 50;
  constexpr double kHeaderBytes = 53;
  const double bytes_to_each_peer =
      kLoadsPerSecond * static_cast<double>(kLoadBytes) +
      kHeaderBytes / ToSeconds(kReportBatchDelay);
  EXPECT_LT(bytes_to_each_peer * static_cast<double>(kMaxDirectPeers),
            kControlBytesPerSecond);
}

// What a host receives from relays must fit in the bandwidth for control
// traffic, whatever the size of the region.
TEST(UpdateTimingTest, DigestsFitTheControlBandwidth) {
  constexpr double kControlBytesPerSecond = 7000;
  constexpr std::size_t kOverheadBytes = 60;
  const double bytes_per_second =
      static_cast<double>(kMaxRelayDatagramBytes + kOverheadBytes) /
      ToSeconds(kRelayPeriod);
  EXPECT_LT(bytes_per_second, kControlBytesPerSecond);
}

}  // namespace
}  // namespace medlarcroft::peer_updates
