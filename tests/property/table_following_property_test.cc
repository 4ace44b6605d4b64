#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "table_following_schedule.h"

namespace medlarcroft::replication {
namespace {

class TableFollowing : public testing::TestWithParam<int> {
 protected:
  static bool Holds(std::uint64_t seed) {
    return medlarcroft::replication::Holds(seed, {.hosts = GetParam()});
  }
};

// Guards against hosts that miss acknowledged changes: callers are then refused
// on a route that was added, or get a response of a target that has left. Hosts
// that read for others are paused, killed, refused and partitioned, with and
// without faults of the store itself, and the store compacts its history. Each
// seed gives one schedule.
TEST_P(TableFollowing, ConnectedHostsReceiveAcknowledgedChanges) {
  constexpr std::uint64_t kSchedules = 1000;
  for (std::uint64_t seed = 1; seed <= kSchedules && Holds(seed); ++seed) {
  }
}

// Seeds beyond the range above that once failed.
TEST_P(TableFollowing, RegressionSeedsHold) {
  for (const std::uint64_t seed : {5919, 3986}) {
    if (!Holds(seed)) {
      return;
    }
  }
}

/// @brief A store that refuses every second call and answers the others with a
/// change.
class FlappingSource final : public RowSource {
 public:
  explicit FlappingSource(ports::Timers& timers) : timers_(timers) {}

  void List(std::string_view,
            std::string_view,
            RowsCallback callback) override {
    Answer(std::move(callback));
  }
  void Follow(std::string_view,
              std::uint64_t,
              Duration,
              RowsCallback callback) override {
    Answer(std::move(callback));
  }

 private:
  void Answer(RowsCallback callback) {
    const std::uint64_t call = ++calls_;
    timers_.RunAfter(milliseconds(5), [call, callback = std::move(callback)] {
      if (call % 2 == 1) {
        callback(RowFailure::kRefused);
      } else {
        callback(RowBatch{.rows = {{.key = "k", .version = call}},
                          .newest_version = call});
      }
    });
  }

  ports::Timers& timers_;
  std::uint64_t calls_ = 0;
};

// The store refuses a host, accepts it and refuses it again, several times a
// second. The host must not send requests to other hosts, which are busy with
// callers, more often than a host that is refused permanently.
TEST(TableFollowerTest, FlappingStoreDoesNotMultiplyPeerRequests) {
  constexpr Duration kFlappingPhase = seconds(10);
  constexpr Duration kMinRequestInterval = milliseconds(400);
  VirtualTime time;
  HostTimers timers(time, 0);
  FlappingSource source(timers);
  fakes::SeededRandom random(2);
  ReceivedRows received;
  int requests = 0;
  TableFollower follower(
      {.timers = timers,
       .store = source,
       .random = random,
       .listener = received},
      {.table = "t",
       .timing = kDirectReadTiming,
       .ask_peer = [&](const RowsRequest&, RowsCallback callback) {
         ++requests;
         timers.RunAfter(milliseconds(1), [callback = std::move(callback)] {
           callback(RowFailure::kRefused);
         });
       }});
  follower.Start();
  time.RunUntil(time.Now() + kFlappingPhase);

  EXPECT_GT(requests, 0);
  EXPECT_LE(requests, kFlappingPhase / kMinRequestInterval + 1);
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         TableFollowing,
                         testing::Values(2, 4, 7, 12),
                         [](const auto& info) {
                           return "of_" + std::to_string(info.param);
                         });

}  // namespace
}  // namespace medlarcroft::replication
