#include "medlarcroft/capacity/seat_holder.h"

#include <gtest/gtest.h>

#include <ostream>

#include "fakes/fake_table_store.h"
#include "fakes/manual_clock.h"

namespace medlarcroft::capacity {
namespace {

constexpr const char* kDomain = "bilbao-a";

class SeatHolderTest : public ::testing::Test {
 protected:
  SeatHolder Make(const char* host, bool is_sibling = false) {
    return {{.self = {.host = HostName(host), .incarnation = 1},
             .failure_domain = FailureDomainName(kDomain),
             .is_sibling = is_sibling},
            store_,
            clock_};
  }

  /// Time passes in beats, with a step each second.
  void Pass(const std::vector<SeatHolder*>& holders,
            int seconds,
            const DomainEvidence& evidence) {
    for (int i = 0; i < seconds; ++i) {
      clock_.Advance(std::chrono::seconds(1));
      for (SeatHolder* holder : holders) {
        holder->RecordHeartbeat();
        holder->Step(1, 1, evidence);
      }
    }
  }

  /// What is known of a peer: gone, or only cut off from the platform.
  static DomainEvidence About(const char* host,
                              bool is_listed,
                              bool is_silent) {
    PeerEvidence peer{.host = HostName(host),
                      .failure_domain = FailureDomainName(kDomain),
                      .is_listed_live = is_listed};
    if (is_silent) {
      peer.silent_for = std::chrono::seconds(30);
    }
    return {
        .peers = {peer}, .is_list_fresh = true, .are_targets_reachable = true};
  }

  fakes::ManualClock clock_;
  fakes::FakeTableStore store_;
};

// What callers see: a domain cut off from the platform serves on. Why: the seat
// needs no renewal there; it is held as long as the process is not paused.
TEST_F(SeatHolderTest, AHolderServesOnWithoutThePlatform) {
  SeatHolder holder = Make("a");
  Pass({&holder}, 1, {});
  EXPECT_EQ(holder.State(), SeatState::kHeld);
  store_.SetDown(true);
  Pass({&holder}, 3600, {});
  EXPECT_EQ(holder.State(), SeatState::kHeld);
  EXPECT_GT(holder.ValidUntil(), clock_.Now());
}

struct TakeOver {
  const char* name;
  bool is_listed;
  bool is_silent;
  bool is_taken;
};

std::ostream& operator<<(std::ostream& out, const TakeOver& value) {
  return out << value.name;
}

class SeatTakeOver : public SeatHolderTest,
                     public ::testing::WithParamInterface<TakeOver> {};

TEST_P(SeatTakeOver, NeedsBothSignsAndWaits) {
  SeatHolder first = Make("a");
  Pass({&first}, 1, {});
  SeatHolder second = Make("b");
  const DomainEvidence evidence =
      About("a", GetParam().is_listed, GetParam().is_silent);
  Pass({&second}, 6, evidence);
  EXPECT_EQ(second.State(),
            GetParam().is_taken ? SeatState::kWaiting : SeatState::kNone);
  EXPECT_LT(second.ValidUntil(), clock_.Now());
  Pass({&second}, 9, evidence);
  EXPECT_EQ(second.State() == SeatState::kHeld, GetParam().is_taken);
}

INSTANTIATE_TEST_SUITE_P(
    Signs,
    SeatTakeOver,
    ::testing::Values(TakeOver{"Lives", true, false, false},
                      TakeOver{"ListLags", false, false, false},
                      TakeOver{"StillListed", true, true, false},
                      TakeOver{"Gone", false, true, true}),
    [](const auto& instance) { return instance.param.name; });

// What callers see: nothing; a target is not overloaded. How: the holder passes
// its seat on and restarts, the platform goes down, and its successor gets the
// handover late; both wait for the seat then, each hears the other claim it,
// and neither uses it.
TEST_F(SeatHolderTest, ALateHandoverYieldsToAPredecessorThatRestarted) {
  SeatHolder first = Make("a");
  Pass({&first}, 1, {});
  SeatHolder successor = Make("b");
  successor.Step(1, 1, About("a", true, false));
  const auto handover =
      first.HandOver({.host = HostName("b"), .incarnation = 1});
  ASSERT_TRUE(handover.has_value());
  store_.SetDown(true);
  EXPECT_TRUE(successor.Accept(*handover));
  EXPECT_TRUE(successor.Accept(*handover)) << "a repeat";
  EXPECT_EQ(successor.State(), SeatState::kWaiting);

  DomainEvidence evidence = About("a", true, false);
  evidence.peers[0].claimed_seat = 0;
  evidence.peers[0].claimed_at = clock_.Now() + std::chrono::seconds(1);
  Pass({&successor}, 1, evidence);
  EXPECT_EQ(successor.State(), SeatState::kNone);
  EXPECT_FALSE(successor.Accept(*handover)) << "its time is over";
}

// What callers see: a target gets more than its slots. How: the platform is
// down, this holder is paused for long, a former owner takes the seat up again;
// then both wake, the platform too, and the row still names this holder. It
// waits until nobody has claimed the seat for a wait-out.
TEST_F(SeatHolderTest, AfterALongPauseTheOwnRowIsNotEnough) {
  SeatHolder holder = Make("a");
  Pass({&holder}, 1, {});
  clock_.Advance(std::chrono::seconds(20));
  DomainEvidence evidence = About("b", true, true);
  evidence.peers[0].claimed_seat = 0;
  evidence.peers[0].claimed_at = clock_.Now() + std::chrono::seconds(1);
  Pass({&holder}, 1, evidence);
  EXPECT_EQ(holder.State(), SeatState::kUnconfirmed);
  evidence.peers[0].claimed_seat.reset();
  Pass({&holder}, 11, evidence);
  EXPECT_EQ(holder.State(), SeatState::kUnconfirmed);
  Pass({&holder}, 2, evidence);
  EXPECT_EQ(holder.State(), SeatState::kHeld);
}

// The other side of it: who took the seat up without the platform yields.
TEST_F(SeatHolderTest, ASeatRegainedWithoutThePlatformYieldsToAClaim) {
  SeatHolder holder = Make("a");
  Pass({&holder}, 1, {});
  store_.SetDown(true);
  clock_.Advance(std::chrono::seconds(20));
  DomainEvidence evidence = About("b", true, true);
  Pass({&holder}, 13, evidence);
  EXPECT_EQ(holder.State(), SeatState::kHeld);
  evidence.peers[0].claimed_seat = 0;
  evidence.peers[0].claimed_at = clock_.Now() + std::chrono::seconds(1);
  Pass({&holder}, 1, evidence);
  EXPECT_EQ(holder.State(), SeatState::kNone);
}

// What callers see: refusals, as the shares of all hosts cannot grow. How: a
// host with an old catalogue takes a free seat and holds up the agreement; the
// check must also hold when the others adopt between its scan and its write.
TEST_F(SeatHolderTest, AHostWithAnOldCatalogueTakesNoSeat) {
  SeatHolder ahead = Make("a");
  ahead.Step(2, 1, {});
  SeatHolder behind = Make("b");
  store_.SetBeforeCommit([&ahead] { ahead.Step(2, 2, {}); });
  behind.Step(2, 1, {});
  EXPECT_EQ(behind.State(), SeatState::kNone);
  behind.Step(2, 1, {});
  EXPECT_EQ(behind.State(), SeatState::kNone);
  behind.Step(2, 2, {});
  EXPECT_EQ(behind.State(), SeatState::kHeld);
  EXPECT_EQ(store_.Rows().size(), 2U);
}

// What callers see: a domain that lost its only host is served by the sibling
// domain 0.5 ms away, and gets its seat back when it has a host again.
TEST_F(SeatHolderTest, ASiblingServesADomainWithoutHosts) {
  SeatHolder own = Make("a");
  Pass({&own}, 1, {});
  SeatHolder sibling = Make("s", true);
  Pass({&sibling}, 20, About("a", true, true));
  EXPECT_EQ(sibling.State(), SeatState::kNone);
  Pass({&sibling}, 15, About("a", false, true));
  EXPECT_EQ(sibling.State(), SeatState::kHeld);
  Pass({&sibling}, 2, About("b", true, false));
  EXPECT_EQ(sibling.State(), SeatState::kNone);
  SeatHolder next = Make("b");
  Pass({&next}, 13, {});
  EXPECT_EQ(next.State(), SeatState::kHeld);
}

}  // namespace
}  // namespace medlarcroft::capacity
