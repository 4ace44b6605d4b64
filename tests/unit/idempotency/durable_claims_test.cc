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

// A request runs exactly once although the platform's answer to the claim is
// lost. Either the row carries this attempt's nonce, or it is missing and the
// same insert is sent again, so that the late write finds the key claimed.
TEST_F(DurableClaimsTest, NonceResolvesLostAnswer) {
  store_.FailNextCommits({CommitFault::kResponseLost});
  EXPECT_TRUE(std::holds_alternative<Claimed>(a_.Claim(key_)));
  const Key late = authority_.Issue(Mode::kDurable);
  store_.FailNextCommits({CommitFault::kDelayed});
  EXPECT_TRUE(std::holds_alternative<Claimed>(a_.Claim(late)));
  store_.DeliverDelayedCommits();
  EXPECT_TRUE(std::holds_alternative<ClaimedElsewhere>(b_.Claim(late)));
}

// While the platform is down the caller gets "unknown", and afterwards its
// request runs: nothing is dispatched before the claim is settled, and the next
// attempt reuses the same nonce.
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

TEST_F(DurableClaimsTest, TakeOverRequiresRelinquishByClaimant) {
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

// Proves "not run": a fence takes the place of the claim row, so a claim that
// is still in transit finds the row and fails.
TEST_F(DurableClaimsTest, FenceStopsLateClaim) {
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
