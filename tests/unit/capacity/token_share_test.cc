#include "medlarcroft/capacity/token_share.h"

#include <gtest/gtest.h>

#include <vector>

#include "fakes/seeded_random.h"

namespace medlarcroft::capacity {
namespace {

constexpr double kRate = 10.0;
constexpr double kBurst = 5.0;

// Guards against a link carrying more than its cap. Hosts lend tokens of their
// shares, and requests and answers are repeated, late or lost. Over any time
// span t, all three together must spend at most the whole rate over t plus one
// token lifetime, plus the whole burst.
TEST(TokenShare, LendingCreatesNoTokens) {
  fakes::SeededRandom random(11);
  const TokenShareOptions options{.rate = kRate, .burst = kBurst};
  MonotonicTime now{};
  std::vector<TokenShare> shares(3, TokenShare(options, now));
  for (TokenShare& share : shares) {
    share.SetValidUntil(MonotonicTime::max());
  }
  std::vector<double> spent;
  std::uint64_t next_id = 0;
  const Duration step = std::chrono::milliseconds(10);
  std::uint32_t moved = 0;
  for (int i = 0; i < 6000; ++i) {
    now += step;
    const std::size_t from = random.NextBelow(3);
    const std::size_t to = random.NextBelow(3);
    const ShareRequest request{.borrower = HostName(std::to_string(to)),
                               .request_id = ++next_id,
                               .amount = 2};
    const ShareGrant grant = shares[from].Lend(request, now);
    EXPECT_EQ(shares[from].Lend(request, now).amount, grant.amount);
    const MonotonicTime late =
        now + std::chrono::milliseconds(random.NextBelow(1500));
    if (from != to && random.NextBelow(4) != 0) {
      shares[to].Receive(grant, now, std::min(late, now));
      shares[to].Receive(grant, now, now);
      moved += grant.amount;
    }
    double taken = 0.0;
    for (TokenShare& share : shares) {
      taken += random.NextBelow(2) == 0 && share.TryTake(1, now) ? 1.0 : 0.0;
    }
    spent.push_back(taken);
  }
  EXPECT_GT(moved, 100U);
  const std::size_t window = 100;  // One second.
  double sum = 0.0;
  for (std::size_t i = 0; i < spent.size(); ++i) {
    sum += spent[i] - (i >= window ? spent[i - window] : 0.0);
    ASSERT_LE(sum, (3 * kRate * 2.0) + (3 * kBurst));
  }
}

// Guards against a host sending a burst after a pause that its successor has
// sent already: no tokens are earned after the seat's validity ends.
TEST(TokenShare, EarnsNothingWhileSeatIsInvalid) {
  MonotonicTime now{};
  TokenShare share({.rate = kRate, .burst = kBurst}, now);
  EXPECT_FALSE(share.TryTake(1, now));
  share.SetValidUntil(now + std::chrono::milliseconds(100));
  now += std::chrono::seconds(60);
  EXPECT_EQ(share.Available(now), 0.0);
  share.SetValidUntil(now + std::chrono::seconds(3));
  EXPECT_NEAR(share.Available(now), 1.0, 1e-9);
}

}  // namespace
}  // namespace medlarcroft::capacity
