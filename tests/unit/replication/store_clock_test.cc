#include "medlarcroft/replication/store_clock.h"

#include <gtest/gtest.h>

namespace medlarcroft::replication {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kOrigin{std::chrono::hours(3)};

// A network failure delays an answer by two seconds. Its rows are two seconds
// old, although they have just arrived.
TEST(StoreClockTest, ADelayedAnswerCountsFromWhenItWasGiven) {
  StoreClock clock;
  const Duration latency = milliseconds(5);
  EXPECT_EQ(
      clock.EstimateAnswerTime(seconds(10), kOrigin + seconds(10) + latency),
      kOrigin + seconds(10) + latency);

  const MonotonicTime received = kOrigin + seconds(13) + latency;
  EXPECT_EQ(clock.EstimateAnswerTime(seconds(11), received),
            received - seconds(2));
}

TEST(StoreClockTest, AFasterAnswerCorrectsTheClockOffset) {
  StoreClock clock;
  (void)clock.EstimateAnswerTime(seconds(10),
                                 kOrigin + seconds(10) + milliseconds(60));

  EXPECT_EQ(clock.EstimateAnswerTime(seconds(11), kOrigin + seconds(11)),
            kOrigin + seconds(11));
  EXPECT_EQ(clock.EstimateAnswerTime(seconds(12),
                                     kOrigin + seconds(12) + milliseconds(60)),
            kOrigin + seconds(12));
}

// A restarted store has a clock that starts anew. Its answers must not count as
// hours old from then on.
TEST(StoreClockTest, ARestartedClockIsAccepted) {
  StoreClock clock;
  (void)clock.EstimateAnswerTime(std::chrono::hours(2),
                                 kOrigin + std::chrono::hours(2));

  const MonotonicTime received = kOrigin + std::chrono::hours(2) + seconds(5);
  EXPECT_EQ(clock.EstimateAnswerTime(seconds(1), received), received);
}

}  // namespace
}  // namespace medlarcroft::replication
