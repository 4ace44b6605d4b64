#include "medlarcroft/replication/store_availability.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace medlarcroft::replication {
namespace {

using std::chrono::seconds;

/// @brief Answers of the store to this host, then what other hosts know.
struct AvailabilityCase {
  const char* name = "";
  std::vector<int> answers;  ///< Seconds by the store's clock.
  std::vector<AvailableTime> peers;
  bool has_gap = false;
  int since = 0;  ///< Of the latest known time, seconds.
};

class StoreAvailabilityTest : public testing::TestWithParam<AvailabilityCase> {
};

// Guards against taking this host's own loss of the store for an outage, and an
// outage for its own loss.
TEST_P(StoreAvailabilityTest, KnowsWhetherTheStoreMayHaveBeenAway) {
  StoreAvailability availability(seconds(3));
  for (const int answer : GetParam().answers) {
    availability.OnAnswer(seconds(answer));
  }
  for (const AvailableTime& peer : GetParam().peers) {
    availability.OnKnownByPeer(peer);
  }
  EXPECT_EQ(availability.HasGap(), GetParam().has_gap);
  ASSERT_TRUE(availability.Current());
  EXPECT_EQ(availability.Current()->since, seconds(GetParam().since));
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    StoreAvailabilityTest,
    testing::Values(
        AvailabilityCase{.name = "steady", .answers = {1, 4, 6}, .since = 1},
        AvailabilityCase{.name = "alone",
                         .answers = {1, 3, 9},
                         .has_gap = true,
                         .since = 9},
        AvailabilityCase{.name = "bridged",
                         .answers = {1, 3, 9},
                         .peers = {{seconds(2), seconds(8)}},
                         .since = 1},
        AvailabilityCase{
            .name = "bridged_by_two",
            .answers = {1, 3, 12},
            .peers = {{seconds(7), seconds(11)}, {seconds(2), seconds(6)}},
            .since = 1},
        AvailabilityCase{.name = "peer_was_cut_off_too",
                         .answers = {1, 3, 9},
                         .peers = {{seconds(8), seconds(9)}},
                         .has_gap = true,
                         .since = 8},
        AvailabilityCase{
            .name = "outage_for_all",
            .answers = {1, 3, 9},
            .peers = {{seconds(0), seconds(2)}, {seconds(8), seconds(10)}},
            .has_gap = true,
            .since = 8},
        AvailabilityCase{.name = "outdated_peer",
                         .answers = {9},
                         .peers = {{seconds(1), seconds(2)}},
                         .since = 9},
        AvailabilityCase{.name = "clock_of_a_new_store",
                         .answers = {100, 101, 2, 3},
                         .since = 2}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::replication
