#include "medlarcroft/quota/token_issuer.h"

#include <gtest/gtest.h>

#include <vector>

#include "medlarcroft/quota/share_lease.h"

namespace medlarcroft::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr AccountNumber kAccount{7};
constexpr HostNumber kHost = 3;
constexpr std::uint32_t kMany = 10'000;
const routing::Quota kQuota{.requests_per_second = 100, .burst = 100};

class TokenIssuerTest : public testing::Test {
 protected:
  TokenIssuerTest() {
    issuer_.SetQuotas(std::vector<AccountQuota>{{kAccount, kQuota}}, kStart);
  }

  [[nodiscard]] Delegation DelegationAt(MonotonicTime time,
                                        std::uint32_t hosts = 2) const {
    return {.since = issuer_.TimeAt(time), .hosts = hosts};
  }

  TokenIssuer issuer_{{}, 1, kStart};
};

TEST_F(TokenIssuerTest, CreatesTokensAtTheRateOfItsShare) {
  issuer_.SetOwnShare(0.5, kStart);
  EXPECT_EQ(issuer_.Grant(kAccount, kMany, kStart), 0U);
  EXPECT_EQ(issuer_.Grant(kAccount, kMany, kStart + milliseconds(200)), 10U);
  EXPECT_EQ(issuer_.Grant(AccountNumber{8}, 1, kStart + seconds(1)), 0U);
}

TEST_F(TokenIssuerTest, KeepsNoMoreTokensThanItsShareOfTheLongestStock) {
  issuer_.SetOwnShare(0.5, kStart);
  const double most = 50 * ToSeconds(LifetimesFor(kQuota, QuotaBounds{}).stock);
  EXPECT_EQ(issuer_.Grant(kAccount, kMany, kStart + seconds(60)),
            static_cast<std::uint32_t>(most));
}

// A host stops and its last delegation ends. Another process may use its share
// from then on, so no token is created from it any more.
TEST_F(TokenIssuerTest, ADelegationEndsWithinItsLease) {
  issuer_.OnDelegation(kHost, DelegationAt(kStart), kStart);
  EXPECT_EQ(issuer_.Share(kStart), 0.5);
  EXPECT_EQ(issuer_.UnusedShareOf(kHost, kStart + milliseconds(100)),
            Duration(0));
  const MonotonicTime end = kStart + kShareLease;
  EXPECT_EQ(issuer_.Share(end), 0);
  EXPECT_GT(issuer_.UnusedShareOf(kHost, end), Duration(0));
  EXPECT_LT(issuer_.UnusedShareOf(kHost, end), milliseconds(100));
}

struct InvalidDelegation {
  std::string name;
  Delegation delegation;
};

class InvalidDelegationTable
    : public TokenIssuerTest,
      public testing::WithParamInterface<InvalidDelegation> {};

// Guards against a share that is used twice, because a message was late or was
// meant for the previous process of the issuer.
TEST_P(InvalidDelegationTable, IsIgnored) {
  issuer_.OnDelegation(kHost, GetParam().delegation, kStart + seconds(5));
  EXPECT_EQ(issuer_.Share(kStart + seconds(5)), 0);
}

IssuerTime TimeOf(std::uint16_t incarnation, MonotonicTime time) {
  return {.incarnation = incarnation,
          .nanoseconds =
              static_cast<std::uint64_t>(time.time_since_epoch().count())};
}

INSTANTIATE_TEST_SUITE_P(
    All,
    InvalidDelegationTable,
    testing::Values(
        InvalidDelegation{"Late", {.since = TimeOf(1, kStart)}},
        InvalidDelegation{"OtherProcess",
                          {.since = TimeOf(2, kStart + seconds(5))}},
        InvalidDelegation{"FromTheFuture",
                          {.since = TimeOf(1, kStart + seconds(6))}},
        InvalidDelegation{
            "NoHosts",
            {.since = TimeOf(1, kStart + seconds(5)), .hosts = 0}}),
    [](const auto& tested) { return tested.param.name; });

TEST_F(TokenIssuerTest, ARepeatedDelegationAddsItsUnusedTimeOnce) {
  Delegation delegation = DelegationAt(kStart);
  delegation.unused = milliseconds(200);
  issuer_.OnDelegation(kHost, delegation, kStart);
  issuer_.OnDelegation(kHost, delegation, kStart);
  EXPECT_EQ(issuer_.Grant(kAccount, kMany, kStart), 10U);
}

// An account is removed and added again in quick succession. Its tokens do not
// come back each time.
TEST_F(TokenIssuerTest, AnAccountThatReturnsStartsWithoutTokens) {
  issuer_.SetOwnShare(1, kStart);
  const MonotonicTime later = kStart + seconds(10);
  EXPECT_GT(issuer_.Grant(kAccount, kMany, later), 0U);
  issuer_.SetQuotas({}, later);
  issuer_.SetQuotas(std::vector<AccountQuota>{{kAccount, kQuota}}, later);
  EXPECT_EQ(issuer_.Grant(kAccount, kMany, later), 0U);
}

TEST_F(TokenIssuerTest, ALoweredQuotaTakesTheExcessTokens) {
  issuer_.SetOwnShare(1, kStart);
  const MonotonicTime later = kStart + seconds(10);
  issuer_.SetQuotas(
      std::vector<AccountQuota>{
          {kAccount, {.requests_per_second = 1, .burst = 0}}},
      later);
  EXPECT_LE(issuer_.Grant(kAccount, kMany, later), 20U);
}

// Two issuers could pass the same tokens to and fro and so keep them for ever.
TEST_F(TokenIssuerTest, TransferredTokensAreNotTransferredAgain) {
  issuer_.Receive(kAccount, {.tokens = 5, .valid_until = kStart + seconds(1)},
                  kStart);
  EXPECT_EQ(issuer_.Transfer(kAccount, kMany, kStart), 0U);
  EXPECT_EQ(issuer_.Grant(kAccount, kMany, kStart), 5U);
}

TEST_F(TokenIssuerTest, AsksOthersForWhatItsHostsMiss) {
  EXPECT_EQ(issuer_.Grant(kAccount, 3, kStart), 0U);
  const auto shortages = issuer_.TakeShortages(kStart);
  ASSERT_EQ(shortages.size(), 1U);
  EXPECT_EQ(shortages[0].account, kAccount);
  EXPECT_EQ(shortages[0].tokens, 3U);
  EXPECT_TRUE(issuer_.TakeShortages(kStart).empty());
}

}  // namespace
}  // namespace medlarcroft::quota
