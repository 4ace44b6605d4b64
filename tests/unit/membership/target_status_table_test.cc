#include "medlarcroft/membership/target_status_table.h"

#include <gtest/gtest.h>

#include "fakes/manual_clock.h"
#include "medlarcroft/membership/rendezvous_hash.h"

namespace medlarcroft::membership {
namespace {

constexpr const char* kName = "reserva-1";

class TargetSignsTest : public ::testing::Test {
 protected:
  void See(const char* observer,
           std::uint64_t sequence,
           bool is_leaving,
           Duration latency = std::chrono::milliseconds(10)) {
    (void)signs_.Receive({.target = TargetName(kName),
                          .observer = HostName(observer),
                          .sequence = sequence,
                          .is_leaving = is_leaving,
                          .latency = latency});
  }

  fakes::ManualClock clock_;
  TargetStatusTable signs_{{}, clock_};
};

// What the caller sees: its work is placed on a target that is about to stop.
// How: one host saw it leave, and an observation of another, made before, or
// the same host's overtaken one, comes later. The first sign wins.
TEST_F(TargetSignsTest, TheFirstSignOfLeavingWins) {
  See("a", 5, true);
  See("b", 9, false);
  See("a", 4, false);
  EXPECT_TRUE(signs_.IsLeaving(TargetName(kName)));
  clock_.Advance(std::chrono::seconds(20));
  See("b", 10, false);
  EXPECT_TRUE(signs_.IsLeaving(TargetName(kName)));
}

TEST_F(TargetSignsTest, ATargetIsBackWhenAllSeeItSoForAWhile) {
  See("a", 1, true);
  clock_.Advance(std::chrono::seconds(31));
  EXPECT_TRUE(signs_.IsLeaving(TargetName(kName))) << "nobody saw it back";
  See("a", 2, false);
  EXPECT_FALSE(signs_.IsLeaving(TargetName(kName)));
  signs_.SetDrained({TargetName(kName)});
  EXPECT_TRUE(signs_.IsLeaving(TargetName(kName)));
}

TEST_F(TargetSignsTest, OneObserverDoesNotDecideTheLatency) {
  See("a", 1, false, std::chrono::milliseconds(10));
  See("b", 1, false, std::chrono::milliseconds(12));
  See("liar", 1, false, std::chrono::seconds(9));
  EXPECT_EQ(signs_.ViewOf(TargetName(kName)).median_latency,
            std::chrono::milliseconds(12));
  clock_.Advance(std::chrono::seconds(31));
  EXPECT_EQ(signs_.ViewOf(TargetName(kName)).observers, 0U);
}

TEST(Relays, ALostHostMovesOnlyItsDuties) {
  std::vector<HostName> hosts;
  hosts.reserve(52);
  for (int i = 0; i < 52; ++i) {
    hosts.emplace_back("h" + std::to_string(i));
  }
  std::size_t changed = 0;
  for (int duty = 0; duty < 200; ++duty) {
    const std::string name = "duty-" + std::to_string(duty);
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
