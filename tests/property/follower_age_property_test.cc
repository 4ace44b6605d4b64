#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "table_following_world.h"

namespace medlarcroft::replication {
namespace {

/// Latency of an answer of the store, and of the step between two checks.
constexpr Duration kTolerance = milliseconds(150);

FollowTiming TimingOf(int hosts) {
  return FollowTimingFor(static_cast<std::size_t>(hosts),
                         {.in_touch_after = seconds(4),
                          .changes_known_within = seconds(4),
                          .target_heartbeat = milliseconds(1500)});
}

/// @return by how much a host's rows are older than it reports, at most, while
/// it lacks the change made at `changed_at`.
Duration LargestError(VirtualTime& time,
                      const Region& region,
                      int host,
                      std::uint64_t version,
                      MonotonicTime changed_at) {
  Duration largest{0};
  const MonotonicTime end = time.Now() + seconds(8);
  while (time.Now() < end) {
    time.RunUntil(time.Now() + milliseconds(10));
    const TableFollower& follower = region.FollowerOf(host);
    if (!time.IsPaused(host) && follower.Mirror().Version() < version) {
      largest = std::max(largest, time.Now() - changed_at - *follower.Age());
    }
  }
  return largest;
}

class FollowerAge : public testing::TestWithParam<int> {};

// Guards against a host that reports its rows as current after a pause, since
// it finds an answer that the store gave before.
TEST_P(FollowerAge, CoversAnAnswerThatWaitedForThePausedHost) {
  VirtualTime time;
  ModelStore store;
  ModelNetwork network(time, store, 1);
  Region region(time, network, GetParam(), TimingOf(GetParam()), 2);
  time.RunUntil(time.Now() + seconds(3));
  for (int host = 0; host < region.Size(); ++host) {
    time.Pause(host, time.Now() + milliseconds(1200));
  }
  store.Put("first");
  network.OnCommit();
  time.RunUntil(time.Now() + milliseconds(200));
  store.Put("second");
  network.OnCommit();
  EXPECT_LE(LargestError(time, region, 0, store.Newest(), time.Now()),
            kTolerance);
}

// Guards against a follower that reports rows as current that its reader last
// confirmed with the store more than a second ago.
TEST(FollowerAgeTest, CoversTheAgeOfTheReadersRows) {
  constexpr int kHosts = 7;
  for (int reader = 0; reader < kHosts; ++reader) {
    VirtualTime time;
    ModelStore store;
    ModelNetwork network(time, store, 1);
    Region region(time, network, kHosts, TimingOf(kHosts), 2);
    time.RunUntil(time.Now() + seconds(5));
    network.SetAccess(reader, StoreAccess::kPartitioned);
    store.Put("key");
    network.OnCommit();
    EXPECT_LE(LargestError(time, region, (reader + 1) % kHosts, store.Newest(),
                           time.Now()),
              kTolerance)
        << "reader " << reader;
  }
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         FollowerAge,
                         testing::Values(2, 7),
                         [](const auto& info) {
                           return "of_" + std::to_string(info.param);
                         });

}  // namespace
}  // namespace medlarcroft::replication
