#include "medlarcroft/steering/shift_limiter.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"

namespace medlarcroft::steering {
namespace {

const ServiceName kLookupDesk("lookup-desk");
const FailureDomainName kTumba("hy-tumba");

class LinkLimitTest : public ::testing::TestWithParam<double> {};

// A burst of callers arrives while the plan forwards a tenth of them. If tokens
// saved up in a quiet time let the burst through in addition to the refill, the
// link would carry more than its limit within one second.
TEST_P(LinkLimitTest, IsNotExceededInAnySecondDespiteBursts) {
  const double limit = GetParam();
  fakes::ManualClock clock;
  fakes::SeededRandom random(11);
  ShiftLimiter limiter(clock);
  std::deque<MonotonicTime> last_second;
  std::size_t peak = 0;
  std::size_t total = 0;

  for (int round = 0; round < 60000; ++round) {
    if (round % 500 == 0) {
      limiter.Update(std::vector<LinkAllowance>{{kTumba, limit}},
                     std::vector<ShiftAllowance>{{kLookupDesk, kTumba, 1e9}});
    }

    const bool is_pause = random.NextBelow(100) == 0;
    clock.Advance(is_pause ? std::chrono::seconds(2)
                           : std::chrono::milliseconds(1));
    while (!last_second.empty() &&
           clock.Now() - last_second.front() >= std::chrono::seconds(1)) {
      last_second.pop_front();
    }

    const std::uint64_t burst = random.NextBelow(4);
    for (std::uint64_t request = 0; request < burst; ++request) {
      if (IsOk(limiter.TryForward(kLookupDesk, kTumba))) {
        last_second.push_back(clock.Now());
        ++total;
      }
    }
    peak = std::max(peak, last_second.size());
  }

  EXPECT_LE(static_cast<double>(peak), std::max(std::floor(limit), 1.0));
  EXPECT_GT(total, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Limits,
    LinkLimitTest,
    ::testing::Values(0.25, 1.0, 1.9, 2.0, 3.3, 10.0, 100.0, 1000.0));

TEST(ShiftLimiter, ReportsLimitThatRefused) {
  fakes::ManualClock clock;
  ShiftLimiter limiter(clock);
  const auto refusal = [&] {
    return ErrorOf(limiter.TryForward(kLookupDesk, kTumba));
  };
  EXPECT_EQ(refusal(), ShiftRefusal::kNotPlanned);

  limiter.Update(std::vector<LinkAllowance>{{kTumba, 1.0}},
                 std::vector<ShiftAllowance>{{kLookupDesk, kTumba, 1.0}});
  EXPECT_EQ(refusal(), ShiftRefusal::kPlannedRate);

  limiter.Update(std::vector<LinkAllowance>{{kTumba, 0.0}},
                 std::vector<ShiftAllowance>{{kLookupDesk, kTumba, 1.0}});
  clock.Advance(std::chrono::seconds(1));
  EXPECT_EQ(refusal(), ShiftRefusal::kLinkCapacity);

  limiter.OnAnswer(kLookupDesk, kTumba, false);
  EXPECT_EQ(refusal(), ShiftRefusal::kReceiverFull);

  limiter.Update({}, {});
  EXPECT_EQ(refusal(), ShiftRefusal::kNotPlanned);
}

// The receiver has lost its targets, but the plan does not reflect that yet.
// Each consecutive refusal doubles the pause, so that fewer requests make the
// round trip in vain.
TEST(ShiftLimiter, PauseDoublesWithConsecutiveRefusals) {
  fakes::ManualClock clock;
  ShiftLimiter limiter(clock);
  limiter.Update(std::vector<LinkAllowance>{{kTumba, 1000.0}},
                 std::vector<ShiftAllowance>{{kLookupDesk, kTumba, 1000.0}});
  const auto count_forwarded_in_a_second = [&](bool is_accepted) {
    int count = 0;
    for (int step = 0; step < 1000; ++step) {
      clock.Advance(std::chrono::milliseconds(1));
      if (IsOk(limiter.TryForward(kLookupDesk, kTumba))) {
        limiter.OnAnswer(kLookupDesk, kTumba, is_accepted);
        ++count;
      }
    }
    return count;
  };

  EXPECT_EQ(count_forwarded_in_a_second(false), 8);
  EXPECT_EQ(count_forwarded_in_a_second(false), 1);
  count_forwarded_in_a_second(true);
  EXPECT_GE(count_forwarded_in_a_second(true), 900);
}

}  // namespace
}  // namespace medlarcroft::steering
