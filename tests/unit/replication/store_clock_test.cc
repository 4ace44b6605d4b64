#include "medlarcroft/replication/store_clock.h"

#include <gtest/gtest.h>

namespace medlarcroft::replication {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kOrigin{std::chrono::hours(3)};

// A cut holds an answer up for two seconds. What it tells is two seconds old,
// though it has just arrived.
TEST(StoreClockTest, AnAnswerThatWasHeldUpIsAsOldAsItIs) {
  StoreClock clock;
  const Duration way = milliseconds(5);
  EXPECT_EQ(clock.GivenAt(seconds(10), kOrigin + seconds(10) + way),
            kOrigin + seconds(10) + way);

  const MonotonicTime received = kOrigin + seconds(13) + way;
  EXPECT_EQ(clock.GivenAt(seconds(11), received), received - seconds(2));
}

TEST(StoreClockTest, AFasterAnswerMovesTheOrigin) {
  StoreClock clock;
  (void)clock.GivenAt(seconds(10), kOrigin + seconds(10) + milliseconds(60));

  EXPECT_EQ(clock.GivenAt(seconds(11), kOrigin + seconds(11)),
            kOrigin + seconds(11));
  EXPECT_EQ(
      clock.GivenAt(seconds(12), kOrigin + seconds(12) + milliseconds(60)),
      kOrigin + seconds(12));
}

// The store starts again with a clock that begins anew. Its answers must not
// count as hours old for good.
TEST(StoreClockTest, AClockThatBeganAnewIsTakenAsItIs) {
  StoreClock clock;
  (void)clock.GivenAt(std::chrono::hours(2), kOrigin + std::chrono::hours(2));

  const MonotonicTime received = kOrigin + std::chrono::hours(2) + seconds(5);
  EXPECT_EQ(clock.GivenAt(seconds(1), received), received);
}

}  // namespace
}  // namespace medlarcroft::replication
