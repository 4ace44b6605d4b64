#include "medlarcroft/request_path/bound_demand.h"

#include <gtest/gtest.h>

#include <string>

namespace medlarcroft::request_path {
namespace {

const RegionName kEast("east");
const RegionName kWest("west");
const RegionName kSouth("south");

struct BoundDemandCase {
  std::string name;
  std::vector<routing::ClientAccount> accounts;
  RegionSlots free_slots;
};

routing::ClientAccount Account(double rate, std::vector<RegionName> regions) {
  return {.quota = {.requests_per_second = rate},
          .allowed_regions = std::move(regions)};
}

class BoundDemandTable : public testing::TestWithParam<BoundDemandCase> {};

// Of 100 slots, 10 are in the east, 40 in the west and 50 in the south.
TEST_P(BoundDemandTable, ReservesSlotsByQuota) {
  std::vector<std::shared_ptr<const routing::ClientAccount>> accounts;
  for (const routing::ClientAccount& account : GetParam().accounts) {
    accounts.push_back(std::make_shared<const routing::ClientAccount>(account));
  }
  const RegionSlots slots = {{kEast, 10}, {kWest, 40}, {kSouth, 50}};

  const RegionSlots free = FreeSlots(slots, BoundDemandsOf(accounts));

  ASSERT_EQ(free.size(), slots.size());
  for (const auto& [region, count] : GetParam().free_slots) {
    EXPECT_NEAR(free.at(region), count, 1e-9) << region.Value();
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BoundDemandTable,
    testing::Values(
        BoundDemandCase{"no_accounts",
                        {},
                        {{kEast, 10}, {kWest, 40}, {kSouth, 50}}},
        BoundDemandCase{"none_restricted",
                        {Account(5, {}), Account(0, {})},
                        {{kEast, 10}, {kWest, 40}, {kSouth, 50}}},
        BoundDemandCase{"part_of_a_region",
                        {Account(5, {kEast}), Account(95, {})},
                        {{kEast, 5}, {kWest, 40}, {kSouth, 50}}},
        BoundDemandCase{"more_than_a_region",
                        {Account(30, {kEast}), Account(70, {})},
                        {{kEast, 0}, {kWest, 40}, {kSouth, 50}}},
        BoundDemandCase{"two_regions_by_their_slots",
                        {Account(25, {kWest, kEast}), Account(75, {})},
                        {{kEast, 5}, {kWest, 20}, {kSouth, 50}}},
        BoundDemandCase{"no_quota_counts_like_the_mean",
                        {Account(0, {kEast}), Account(1, {}), Account(1, {}),
                         Account(1, {}), Account(1, {})},
                        {{kEast, 0}, {kWest, 40}, {kSouth, 50}}},
        BoundDemandCase{"unknown_region",
                        {Account(50, {RegionName("north")}), Account(50, {})},
                        {{kEast, 10}, {kWest, 40}, {kSouth, 50}}},
        BoundDemandCase{"everything_restricted",
                        {Account(1, {kEast, kWest, kSouth})},
                        {{kEast, 10}, {kWest, 40}, {kSouth, 50}}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::request_path
