#include <gtest/gtest.h>

#include "table_following_world.h"

namespace medlarcroft::replication {
namespace {

/// @brief Bounds of a region in which one host reads for the others.
struct ReaderFailureCase {
  const char* name = "";
  Duration known_within{0};
  Duration in_touch_after{0};
};

FollowTiming TimingOf(const ReaderFailureCase& bounds) {
  return FollowTimingFor(kMaxDirectReaders + 2,
                         {.in_touch_after = bounds.in_touch_after,
                          .changes_known_within = bounds.known_within,
                          .target_heartbeat = milliseconds(1500)});
}

class ReaderFailure : public testing::TestWithParam<ReaderFailureCase> {};

// Guards against hosts that act on old rows for longer than allowed while their
// reader first loses the store and then fails itself.
TEST_P(ReaderFailure, OtherHostsKnowOfChangesInTime) {
  constexpr int kHosts = 7;
  constexpr Duration kStep = milliseconds(50);
  const ReaderFailureCase& bounds = GetParam();
  for (int reader = 0; reader < kHosts; ++reader) {
    for (Duration pause_after{0}; pause_after < seconds(2);
         pause_after += kStep) {
      VirtualTime time;
      ModelStore store;
      ModelNetwork network(time, store, 1);
      Region region(time, network, kHosts, TimingOf(bounds), 2);
      time.RunUntil(time.Now() + seconds(5));
      network.SetAccess(reader, StoreAccess::kPartitioned);
      store.Put("key");
      network.OnCommit();
      const MonotonicTime changed_at = time.Now();
      time.RunUntil(changed_at + pause_after);
      time.Pause(reader, time.Now() + seconds(30));
      time.RunUntil(changed_at + bounds.known_within);
      for (int host = 0; host < kHosts; ++host) {
        if (host != reader) {
          ASSERT_EQ(region.FollowerOf(host).Mirror().Version(), store.Newest())
              << "host " << host << " of reader " << reader << " paused after "
              << ToSeconds(pause_after) << " s";
        }
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bounds,
    ReaderFailure,
    testing::Values(ReaderFailureCase{.name = "known_within_2s",
                                      .known_within = seconds(2),
                                      .in_touch_after = seconds(3)},
                    ReaderFailureCase{.name = "known_within_2500ms",
                                      .known_within = milliseconds(2500),
                                      .in_touch_after = seconds(4)},
                    ReaderFailureCase{.name = "known_within_3s",
                                      .known_within = seconds(3),
                                      .in_touch_after = seconds(4)},
                    ReaderFailureCase{.name = "known_within_4s",
                                      .known_within = seconds(4),
                                      .in_touch_after = seconds(5)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::replication
