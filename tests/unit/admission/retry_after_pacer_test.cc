#include "medlarcroft/admission/retry_after_pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "fakes/seeded_random.h"

namespace medlarcroft::admission {
namespace {

// A thousand callers are refused at the same moment by a service that completes
// a hundred requests per second. With the same Retry-After for all of them, 900
// would be refused again when they return.
TEST(RetryAfterPacer, SpreadsReturnsByTheRateOfTheService) {
  fakes::SeededRandom random(1);
  RetryAfterPacer pacer;
  std::map<std::int64_t, int> returns_by_second;
  for (int i = 0; i < 1000; ++i) {
    const Duration wait =
        pacer.Next(MonotonicTime(), Duration(0), 100.0, random);
    ++returns_by_second[ToMilliseconds(wait) / 1000];
  }

  for (const auto& [second, count] : returns_by_second)
    EXPECT_LE(count, 60);
  EXPECT_LE(returns_by_second.rbegin()->first, 24);
}

TEST(RetryAfterPacer, LimitsTheLongestRetryAfter) {
  fakes::SeededRandom random(1);
  RetryAfterPacer pacer;
  Duration longest(0);
  for (int i = 0; i < 5000; ++i) {
    longest = std::max(longest,
                       pacer.Next(MonotonicTime(), Duration(0), 10.0, random));
  }

  EXPECT_LE(longest, std::chrono::seconds(24));
}

TEST(RetryAfterPacer, IsNeverShorterThanTheMinimumDelay) {
  fakes::SeededRandom random(1);
  RetryAfterPacer pacer;

  EXPECT_GE(pacer.Next(MonotonicTime(), std::chrono::seconds(3), 1e6, random),
            std::chrono::seconds(3));
}

}  // namespace
}  // namespace medlarcroft::admission
