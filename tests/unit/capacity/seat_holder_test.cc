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

  /// Advances time with one heartbeat and one step each second.
  void AdvanceTime(const std::vector<SeatHolder*>& holders,
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

  /// Evidence about a peer that is gone or only disconnected from the
  /// platform.
  static DomainEvidence EvidenceFor(const char* host,
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

// A domain that is disconnected from the platform keeps serving: the seat needs
// no renewal there and is held as long as the process is not paused.
TEST_F(SeatHolderTest, HolderKeepsItsSeatWithoutThePlatform) {
  SeatHolder holder = Make("a");
  AdvanceTime({&holder}, 1, {});
  EXPECT_EQ(holder.State(), SeatState::kHeld);
  store_.SetDown(true);
  AdvanceTime({&holder}, 3600, {});
  EXPECT_EQ(holder.State(), SeatState::kHeld);
  EXPECT_GT(holder.ValidUntil(), clock_.Now());
}

struct TakeoverCase {
  const char* name;
  bool is_listed;
  bool is_silent;
  bool is_taken;
};

std::ostream& operator<<(std::ostream& out, const TakeoverCase& value) {
  return out << value.name;
}

class SeatTakeoverTest : public SeatHolderTest,
                         public ::testing::WithParamInterface<TakeoverCase> {};

TEST_P(SeatTakeoverTest, RequiresBothConditionsAndWaits) {
  SeatHolder first = Make("a");
  AdvanceTime({&first}, 1, {});
  SeatHolder second = Make("b");
  const DomainEvidence evidence =
      EvidenceFor("a", GetParam().is_listed, GetParam().is_silent);
  AdvanceTime({&second}, 6, evidence);
  EXPECT_EQ(second.State(),
            GetParam().is_taken ? SeatState::kWaiting : SeatState::kNone);
  EXPECT_LT(second.ValidUntil(), clock_.Now());
  AdvanceTime({&second}, 9, evidence);
  EXPECT_EQ(second.State() == SeatState::kHeld, GetParam().is_taken);
}

INSTANTIATE_TEST_SUITE_P(
    Evidence,
    SeatTakeoverTest,
    ::testing::Values(TakeoverCase{"Lives", true, false, false},
                      TakeoverCase{"ListLags", false, false, false},
                      TakeoverCase{"StillListed", true, true, false},
                      TakeoverCase{"Gone", false, true, true}),
    [](const auto& instance) { return instance.param.name; });

// Guards against overloading a target after a late handover. The holder hands
// its seat over and restarts, the platform goes down, and the successor
// receives the handover late. Both then wait for the seat, each receives the
// other's claim to it, and neither uses it.
TEST_F(SeatHolderTest, LateHandoverYieldsToRestartedPredecessor) {
  SeatHolder first = Make("a");
  AdvanceTime({&first}, 1, {});
  SeatHolder successor = Make("b");
  successor.Step(1, 1, EvidenceFor("a", true, false));
  const auto handover =
      first.HandOver({.host = HostName("b"), .incarnation = 1});
  ASSERT_TRUE(handover.has_value());
  store_.SetDown(true);
  EXPECT_TRUE(successor.Accept(*handover));
  EXPECT_TRUE(successor.Accept(*handover)) << "repeated handover";
  EXPECT_EQ(successor.State(), SeatState::kWaiting);

  DomainEvidence evidence = EvidenceFor("a", true, false);
  evidence.peers[0].claimed_seat = 0;
  evidence.peers[0].claimed_at = clock_.Now() + std::chrono::seconds(1);
  AdvanceTime({&successor}, 1, evidence);
  EXPECT_EQ(successor.State(), SeatState::kNone);
  EXPECT_FALSE(successor.Accept(*handover)) << "handover no longer in effect";
}

// Guards against a target getting more requests than it has slots. The platform
// is down, this holder is paused for long, and a former owner takes the seat
// again. Then both resume, the platform recovers, and the row still names this
// holder. It must wait until no peer has claimed the seat for
// `ReuseDelayAfterRelease`.
TEST_F(SeatHolderTest, OwnRowIsNotEnoughAfterLongPause) {
  SeatHolder holder = Make("a");
  AdvanceTime({&holder}, 1, {});
  clock_.Advance(std::chrono::seconds(20));
  DomainEvidence evidence = EvidenceFor("b", true, true);
  evidence.peers[0].claimed_seat = 0;
  evidence.peers[0].claimed_at = clock_.Now() + std::chrono::seconds(1);
  AdvanceTime({&holder}, 1, evidence);
  EXPECT_EQ(holder.State(), SeatState::kUnconfirmed);
  evidence.peers[0].claimed_seat.reset();
  AdvanceTime({&holder}, 11, evidence);
  EXPECT_EQ(holder.State(), SeatState::kUnconfirmed);
  AdvanceTime({&holder}, 2, evidence);
  EXPECT_EQ(holder.State(), SeatState::kHeld);
}

// Counterpart of the previous test: a host that regained the seat without the
// platform yields it.
TEST_F(SeatHolderTest, SeatRegainedWithoutThePlatformYieldsToClaim) {
  SeatHolder holder = Make("a");
  AdvanceTime({&holder}, 1, {});
  store_.SetDown(true);
  clock_.Advance(std::chrono::seconds(20));
  DomainEvidence evidence = EvidenceFor("b", true, true);
  AdvanceTime({&holder}, 13, evidence);
  EXPECT_EQ(holder.State(), SeatState::kHeld);
  evidence.peers[0].claimed_seat = 0;
  evidence.peers[0].claimed_at = clock_.Now() + std::chrono::seconds(1);
  AdvanceTime({&holder}, 1, evidence);
  EXPECT_EQ(holder.State(), SeatState::kNone);
}

// Guards against requests being refused because the shares of all hosts cannot
// grow: a host with an old catalogue takes a free seat and delays the agreement
// on a revision. The check must also hold when other hosts adopt a revision
// between its scan and its write.
TEST_F(SeatHolderTest, HostWithOldCatalogueTakesNoSeat) {
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

// A domain that lost its only host is served by the sibling domain, 0.5 ms from
// it, and gets its seat back when it has a host again.
TEST_F(SeatHolderTest, SiblingServesDomainWithoutHosts) {
  SeatHolder own = Make("a");
  AdvanceTime({&own}, 1, {});
  SeatHolder sibling = Make("s", true);
  AdvanceTime({&sibling}, 20, EvidenceFor("a", true, true));
  EXPECT_EQ(sibling.State(), SeatState::kNone);
  AdvanceTime({&sibling}, 15, EvidenceFor("a", false, true));
  EXPECT_EQ(sibling.State(), SeatState::kHeld);
  AdvanceTime({&sibling}, 2, EvidenceFor("b", true, false));
  EXPECT_EQ(sibling.State(), SeatState::kNone);
  SeatHolder next = Make("b");
  AdvanceTime({&next}, 13, {});
  EXPECT_EQ(next.State(), SeatState::kHeld);
}

}  // namespace
}  // namespace medlarcroft::capacity
