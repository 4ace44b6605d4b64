#include "medlarcroft/quota/held_tokens.h"

#include <gtest/gtest.h>

#include "medlarcroft/quota/quota_hosts.h"
#include "medlarcroft/quota/share_lease.h"

namespace medlarcroft::quota {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{hours(1)};

TEST(HeldTokensTest, ARequestTakesATokenOrWaitsForOne) {
  HeldTokens held;
  EXPECT_EQ(held.Admit(kStart).admission, Admission::kWaiting);
  EXPECT_EQ(held.Missing(milliseconds(400), kStart), 1U);
  held.Add({.tokens = 1, .valid_until = kStart + seconds(1)}, kStart);
  const AdmissionResult result = held.AdmitWaiting(kStart);
  EXPECT_EQ(result.admission, Admission::kAdmitted);
  EXPECT_EQ(result.token_valid_until, kStart + seconds(1));
  EXPECT_EQ(held.Waiting(), 0U);
}

TEST(HeldTokensTest, TokensExpire) {
  HeldTokens held;
  held.Add({.tokens = 1, .valid_until = kStart + seconds(1)}, kStart);
  EXPECT_EQ(held.Admit(kStart + seconds(1)).admission, Admission::kWaiting);
}

// An account sends far more than its quota. Its requests do not pile up here.
TEST(HeldTokensTest, FewRequestsWaitWhileNoTokensArrive) {
  HeldTokens held;
  int waiting = 0;
  for (int i = 0; i < 100; ++i) {
    waiting += held.Admit(kStart).admission == Admission::kWaiting ? 1 : 0;
  }
  EXPECT_LE(waiting, 5);
  held.OnWaitedInVain(kStart);
  EXPECT_EQ(held.Admit(kStart).admission, Admission::kExhausted);
}

TEST(HeldTokensTest, AReturnedTokenKeepsItsEnd) {
  HeldTokens held;
  held.GiveBack(kStart + milliseconds(10));
  EXPECT_EQ(held.Admit(kStart).token_valid_until, kStart + milliseconds(10));
}

// Guards against two issuers that create tokens from one share: a promise ends
// before the share goes to another issuer.
TEST(ShareLeaseTest, AShareHasOneUserAtATime) {
  ShareLease lease(kStart);
  EXPECT_FALSE(lease.IsUsable(kStart - milliseconds(1)));
  EXPECT_TRUE(lease.IsUsable(kStart));
  lease.Delegate(1, kStart);
  EXPECT_FALSE(lease.IsUsable(kStart + kShareLease / 2));
  EXPECT_TRUE(lease.MayDelegate(1, kStart + kShareLease / 2));
  EXPECT_FALSE(lease.MayDelegate(2, kStart + kShareLease / 2));
  EXPECT_TRUE(lease.MayDelegate(2, kStart + kShareLease));
}

// A new host must not use its share before the others count it, also if they
// confirm that nobody else uses it.
TEST(ShareLeaseTest, ConfirmationDoesNotEndAPostponement) {
  ShareLease lease(kStart + kShareLease);
  lease.PostponeUntil(kStart + seconds(4));
  lease.OnConfirmedUnused(kStart);
  EXPECT_FALSE(lease.IsUsable(kStart + seconds(3)));
  EXPECT_TRUE(lease.IsUsable(kStart + seconds(4)));
}

}  // namespace
}  // namespace medlarcroft::quota
