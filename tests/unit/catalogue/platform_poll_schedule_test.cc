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

/// @brief How the head's own steps are spaced.
struct HeadCase {
  std::string name;
  Duration shortest;
  Duration longest;
};

class HostListBesideHead : public testing::TestWithParam<HeadCase> {};

// A caller of a target whose host was just listed as leaving gets "503" or a
// wait from it past the promise of 3 s. The list was read right before it
// changed; the next read was due 2 s later, but ran only with the step of the
// head's reader after that, 0.75 to 1.25 s on, or at the end of its back-off.
TEST_P(HostListBesideHead, ReadsTheListOnceAPeriodWhateverTheHeadDoes) {
  fakes::SeededRandom random{7};
  PlatformPollSchedule schedule;
  HostListPollTiming pace;
  schedule.SetDue(PlatformPoll::kBlockMap, kStart + std::chrono::hours(1));
  MonotonicTime now = kStart;
  MonotonicTime last_list = kStart;
  Duration longest_gap{0};
  int lists = 0;
  while (now < kStart + std::chrono::minutes(10)) {
    if (schedule.IsDue(PlatformPoll::kCatalogueHead, now)) {
      const Duration spread = GetParam().longest - GetParam().shortest;
      schedule.SetDue(PlatformPoll::kCatalogueHead,
                      now + GetParam().shortest +
                          FromSeconds(ToSeconds(spread) * random.NextUnit()));
    }
    if (schedule.IsDue(PlatformPoll::kHostList, now)) {
      longest_gap = std::max(longest_gap, now - last_list);
      last_list = now;
      ++lists;
      schedule.SetDue(PlatformPoll::kHostList, now + pace.AfterRead(4));
    }
    now += schedule.TimeUntilNextDue(now);
  }

  EXPECT_LE(longest_gap, seconds(2));
  EXPECT_GE(lists, 299);
  EXPECT_LE(lists, 301);
}

INSTANTIATE_TEST_SUITE_P(
    Heads,
    HostListBesideHead,
    testing::Values(HeadCase{"watched_once_a_second", milliseconds(750),
                             milliseconds(1250)},
                    HeadCase{"brought_by_peers", milliseconds(375),
                             milliseconds(625)},
                    HeadCase{"backing_off", seconds(6), seconds(10)}),
    [](const auto& info) { return info.param.name; });

TEST(HostListPaceTest, GrowsWithTheHostsUpToFiveSeconds) {
  HostListPollTiming pace;

  EXPECT_EQ(pace.AfterRead(8), seconds(2));
  EXPECT_EQ(pace.AfterRead(528), seconds(3));
  EXPECT_EQ(pace.AfterRead(880), seconds(5));
  EXPECT_EQ(pace.AfterRead(5000), seconds(5));
}

// One answer of the platform is lost, just when a target's host was listed as
// leaving: the next read still falls within the promise. While the platform
// stays away, hosts ask no more often than while it answers.
TEST(HostListPaceTest, AsksSoonAfterOneFailureAndNoMoreOftenAfterMany) {
  HostListPollTiming pace;
  (void)pace.AfterRead(8);

  EXPECT_EQ(pace.AfterFailure(), milliseconds(500));
  EXPECT_EQ(pace.AfterFailure(), milliseconds(1000));
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(pace.AfterFailure(), seconds(2));
  }
  EXPECT_EQ(pace.AfterRead(8), seconds(2));
  EXPECT_EQ(pace.AfterFailure(), milliseconds(500));
}

}  // namespace
}  // namespace medlarcroft::catalogue
