#include "medlarcroft/catalogue/platform_poll_schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "fakes/seeded_random.h"

namespace medlarcroft::catalogue {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

/// @brief Interval bounds of the head polls.
struct HeadPollCase {
  std::string name;
  Duration shortest;
  Duration longest;
};

class HostListPollIntervalTest : public testing::TestWithParam<HeadPollCase> {};

// Guards against reading the host list only together with the catalogue head. A
// host was listed as leaving right after the list had been read; the next read
// was due 2 s later but ran only with the following head poll, 0.75 to 1.25 s
// later or at the end of its backoff. So callers were sent to a leaving target,
// and got a 503 or a wait, for longer than the 3 s limit.
TEST_P(HostListPollIntervalTest, DoesNotDependOnHeadPolls) {
  fakes::SeededRandom random{7};
  PlatformPollSchedule schedule;
  HostListPollTiming timing;
  schedule.SetDue(PlatformPoll::kBlockMap, kStart + std::chrono::hours(1));
  MonotonicTime now = kStart;
  MonotonicTime last_read = kStart;
  Duration longest_gap{0};
  int list_reads = 0;
  while (now < kStart + std::chrono::minutes(10)) {
    if (schedule.IsDue(PlatformPoll::kCatalogueHead, now)) {
      const Duration spread = GetParam().longest - GetParam().shortest;
      schedule.SetDue(PlatformPoll::kCatalogueHead,
                      now + GetParam().shortest +
                          FromSeconds(ToSeconds(spread) * random.NextUnit()));
    }
    if (schedule.IsDue(PlatformPoll::kHostList, now)) {
      longest_gap = std::max(longest_gap, now - last_read);
      last_read = now;
      ++list_reads;
      schedule.SetDue(PlatformPoll::kHostList, now + timing.AfterRead(4));
    }
    now += schedule.TimeUntilNextDue(now);
  }

  EXPECT_LE(longest_gap, seconds(2));
  EXPECT_GE(list_reads, 299);
  EXPECT_LE(list_reads, 301);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    HostListPollIntervalTest,
    testing::Values(HeadPollCase{"polled_once_per_second", milliseconds(750),
                                 milliseconds(1250)},
                    HeadPollCase{"delivered_by_peers", milliseconds(375),
                                 milliseconds(625)},
                    HeadPollCase{"backing_off", seconds(6), seconds(10)}),
    [](const auto& info) { return info.param.name; });

TEST(HostListPollTimingTest, GrowsWithNumberOfHostsUpToFiveSeconds) {
  HostListPollTiming timing;

  EXPECT_EQ(timing.AfterRead(8), seconds(2));
  EXPECT_EQ(timing.AfterRead(528), seconds(3));
  EXPECT_EQ(timing.AfterRead(880), seconds(5));
  EXPECT_EQ(timing.AfterRead(5000), seconds(5));
}

// One response of the platform is lost just when a target's host is listed as
// leaving: the next read must still fall within the 3 s limit. While the
// platform is unavailable, hosts must not read more often than while it is
// available.
TEST(HostListPollTimingTest, RetriesSoonAfterOneFailureButNotAfterMany) {
  HostListPollTiming timing;
  (void)timing.AfterRead(8);

  EXPECT_EQ(timing.AfterFailure(), milliseconds(500));
  EXPECT_EQ(timing.AfterFailure(), milliseconds(1000));
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(timing.AfterFailure(), seconds(2));
  }
  EXPECT_EQ(timing.AfterRead(8), seconds(2));
  EXPECT_EQ(timing.AfterFailure(), milliseconds(500));
}

}  // namespace
}  // namespace medlarcroft::catalogue
