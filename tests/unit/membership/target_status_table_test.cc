#include "medlarcroft/membership/target_status_table.h"

#include <gtest/gtest.h>

#include "fakes/manual_clock.h"
#include "medlarcroft/membership/rendezvous_hash.h"

namespace medlarcroft::membership {
namespace {

constexpr const char* kName = "reserva-1";

class TargetStatusTableTest : public ::testing::Test {
 protected:
  void Observe(const char* observer,
               std::uint64_t sequence,
               bool is_leaving,
               Duration latency = std::chrono::milliseconds(10)) {
    (void)statuses_.Receive({.target = TargetName(kName),
                             .observer = HostName(observer),
                             .sequence = sequence,
                             .is_leaving = is_leaving,
                             .latency = latency});
  }

  fakes::ManualClock clock_;
  TargetStatusTable statuses_{{}, clock_};
};

// Guards against work that is placed on a target about to stop: one host
// observed it leaving, and an observation that another host made earlier, or an
// older one of the same host, arrives later. The first report that it is
// leaving must take precedence.
TEST_F(TargetStatusTableTest, TheFirstReportOfLeavingTakesPrecedence) {
  Observe("a", 5, true);
  Observe("b", 9, false);
  Observe("a", 4, false);
  EXPECT_TRUE(statuses_.IsLeaving(TargetName(kName)));
  clock_.Advance(std::chrono::seconds(20));
  Observe("b", 10, false);
  EXPECT_TRUE(statuses_.IsLeaving(TargetName(kName)));
}

TEST_F(TargetStatusTableTest, ATargetIsBackOnceObservedSoAfterAWhile) {
  Observe("a", 1, true);
  clock_.Advance(std::chrono::seconds(31));
  EXPECT_TRUE(statuses_.IsLeaving(TargetName(kName)))
      << "no host observed it as not leaving";
  Observe("a", 2, false);
  EXPECT_FALSE(statuses_.IsLeaving(TargetName(kName)));
  statuses_.SetDrained({TargetName(kName)});
  EXPECT_TRUE(statuses_.IsLeaving(TargetName(kName)));
}

TEST_F(TargetStatusTableTest, OneObserverDoesNotDecideTheLatency) {
  Observe("a", 1, false, std::chrono::milliseconds(10));
  Observe("b", 1, false, std::chrono::milliseconds(12));
  Observe("faulty", 1, false, std::chrono::seconds(9));
  EXPECT_EQ(statuses_.MergedStatusOf(TargetName(kName)).median_latency,
            std::chrono::milliseconds(12));
  clock_.Advance(std::chrono::seconds(31));
  EXPECT_EQ(statuses_.MergedStatusOf(TargetName(kName)).observers, 0U);
}

TEST(RendezvousHash, ALostHostMovesOnlyItsTasks) {
  std::vector<HostName> hosts;
  hosts.reserve(52);
  for (int i = 0; i < 52; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  std::size_t changed = 0;
  for (int task = 0; task < 200; ++task) {
    const std::string name = "duty-" + std::to_string(task);
    const auto before = ChooseHostsByRendezvousHash(name, hosts, 2);
    const std::vector<HostName> fewer(hosts.begin() + 1, hosts.end());
    const bool had_lost = before[0] == hosts[0] || before[1] == hosts[0];
    EXPECT_EQ(ChooseHostsByRendezvousHash(name, fewer, 2) != before, had_lost);
    changed += had_lost ? 1 : 0;
  }
  EXPECT_LT(changed, 30U);
}

}  // namespace
}  // namespace medlarcroft::membership
