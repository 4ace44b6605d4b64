#include "medlarcroft/replication/store_outage.h"

#include <gtest/gtest.h>

#include <string>

namespace medlarcroft::replication {
namespace {

using std::chrono::seconds;

struct OutageCase {
  std::string name;
  StoreOutage outage;
  bool is_away_for_all = false;
};

class StoreOutageTable : public testing::TestWithParam<OutageCase> {};

// Guards against a host that is cut off, or turned away alone, and takes that
// for an outage in which nothing changes.
TEST_P(StoreOutageTable, IsBelievedByTheWordOfOtherRegions) {
  EXPECT_EQ(IsAwayForAll(GetParam().outage), GetParam().is_away_for_all);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    StoreOutageTable,
    testing::Values(OutageCase{"StoreAnswers",
                               {.refused_elsewhere_ago = seconds(1)}},
                    OutageCase{"Short",
                               {.disconnected_for = seconds(14),
                                .refused_elsewhere_ago = seconds(1)}},
                    OutageCase{"CutOff", {.disconnected_for = seconds(3600)}},
                    OutageCase{"CutOffLater",
                               {.disconnected_for = seconds(3600),
                                .refused_elsewhere_ago = seconds(6)}},
                    OutageCase{"LongAndConfirmed",
                               {.disconnected_for = seconds(16),
                                .refused_elsewhere_ago = seconds(4)},
                               true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace medlarcroft::replication
