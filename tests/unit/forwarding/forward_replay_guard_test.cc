#include "medlarcroft/forwarding/forward_replay_guard.h"

#include <gtest/gtest.h>

#include "fakes/manual_clock.h"

namespace medlarcroft::forwarding {
namespace {

// A shifted request reaches the other domain twice and must run once: the
// second arrival of the same proof is rejected for as long as the proof is
// recent enough to be valid.
TEST(ForwardReplayGuard, SecondArrivalIsRejected) {
  fakes::ManualClock clock;
  ForwardReplayGuard guard(clock);

  EXPECT_TRUE(guard.Admit("proof"));
  EXPECT_FALSE(guard.Admit("proof"));
  clock.Advance(std::chrono::seconds(119));
  EXPECT_FALSE(guard.Admit("proof"));
}

TEST(ForwardReplayGuard, FullGuardAdmitsNothingUntilOldProofsExpire) {
  fakes::ManualClock clock;
  ForwardReplayGuard guard(clock, 2);

  EXPECT_TRUE(guard.Admit("a"));
  EXPECT_TRUE(guard.Admit("b"));
  EXPECT_FALSE(guard.Admit("c"));
  clock.Advance(std::chrono::seconds(121));
  EXPECT_TRUE(guard.Admit("c"));
}

}  // namespace
}  // namespace medlarcroft::forwarding
