#include "medlarcroft/idempotency/durable_claims.h"

#include <gtest/gtest.h>

#include "fakes/fake_table_store.h"
#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/idempotency/key_authority.h"

namespace medlarcroft::idempotency {
namespace {

using fakes::CommitFault;

class DurableClaimsTest : public ::testing::Test {
 protected:
  DurableClaims Make(const char* host, std::uint64_t incarnation = 1) {
    return {{.host = HostName(host), .incarnation = incarnation},
            store_,
            random_,
            clock_};
  }

  fakes::ManualClock clock_;
  fakes::FakeTableStore store_;
  fakes::SeededRandom random_{3};
  KeyAuthority authority_{{.host = HostName("a"), .incarnation = 1},
                          {.issuing = "0123456789abcdef"},
                          clock_};
  Key key_ = authority_.Issue(Mode::kDurable);
  DurableClaims a_ = Make("a");
  DurableClaims b_ = Make("b");
};

// What the caller sees: its booking runs, once, though the platform lost the
// answer to the claim. How: the row bears this attempt's nonce; or it is
// absent, and the same insert is sent again, so that the late one finds it
// taken.
TEST_F(DurableClaimsTest, ALostAnswerIsSettledByTheNonce) {
  store_.FailNextCommits({CommitFault::kResponseLost});
  EXPECT_TRUE(std::holds_alternative<Claimed>(a_.Claim(key_)));
  const Key late = authority_.Issue(Mode::kDurable);
  store_.FailNextCommits({CommitFault::kDelayed});
  EXPECT_TRUE(std::holds_alternative<Claimed>(a_.Claim(late)));
  store_.DeliverDelayedCommits();
  EXPECT_TRUE(std::holds_alternative<ClaimedElsewhere>(b_.Claim(late)));
}

// What the caller sees: "unknown" while the platform is down, then its booking
// runs. How: nothing is dispatched before the claim is settled; asking again
// goes on with the same nonce.
TEST_F(DurableClaimsTest, NothingIsDispatchedUntilTheClaimIsSettled) {
  store_.SetDown(true);
  EXPECT_TRUE(std::holds_alternative<Unsettled>(a_.Claim(key_)));
  EXPECT_FALSE(a_.MarkDispatched(key_));
  store_.SetDown(false);
  store_.SetReadsFailing(false);
  EXPECT_TRUE(std::holds_alternative<Claimed>(a_.Claim(key_)));
  EXPECT_TRUE(a_.MarkDispatched(key_));
  EXPECT_FALSE(a_.MarkDispatched(key_));
}

TEST_F(DurableClaimsTest, TakeOverNeedsTheBindingWordOfTheClaimant) {
  (void)a_.Claim(key_);
  EXPECT_FALSE(a_.Relinquish(key_, 2)) << "another incarnation proves nothing";
  EXPECT_TRUE(a_.Relinquish(key_, 1));
  EXPECT_FALSE(a_.MarkDispatched(key_));
  const Claimant from{.host = HostName("a"), .incarnation = 1};
  EXPECT_TRUE(std::holds_alternative<Claimed>(b_.TakeOver(key_, from)));
  EXPECT_TRUE(b_.MarkDispatched(key_));
  EXPECT_FALSE(b_.Relinquish(key_, 1));
  EXPECT_EQ(std::get<ClaimRefusal>(a_.Claim(key_)),
            ClaimRefusal::kRelinquished);
}

// What the caller sees: "not run", proved. How: a fence takes the place of the
// claim, so a claim that is still on its way finds the row and fails.
TEST_F(DurableClaimsTest, AFenceStopsALateClaim) {
  store_.FailNextCommits({CommitFault::kDelayed, CommitFault::kDelayed});
  EXPECT_TRUE(std::holds_alternative<Unsettled>(a_.Claim(key_)));
  EXPECT_TRUE(std::holds_alternative<Fenced>(b_.Fence(key_)));
  store_.DeliverDelayedCommits();
  EXPECT_TRUE(std::holds_alternative<Fenced>(a_.Claim(key_)));
  EXPECT_FALSE(a_.MarkDispatched(key_));
}

TEST_F(DurableClaimsTest, SweepKeepsRowsUntilNoClockAcceptsTheKey) {
  (void)a_.Claim(key_);
  clock_.Advance(std::chrono::minutes(15));
  EXPECT_EQ(ValueOf(a_.Sweep(100)), 0U);
  clock_.Advance(std::chrono::minutes(10));
  EXPECT_EQ(ValueOf(a_.Sweep(100)), 1U);
  EXPECT_TRUE(store_.Rows().empty());
}

}  // namespace
}  // namespace medlarcroft::idempotency
