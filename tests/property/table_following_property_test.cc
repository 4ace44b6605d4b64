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

// Callers see a route denied that was added, or an answer of a target that
// left, when a host does not hear what the store acknowledged. Hosts that read
// for others are paused, killed, turned away and cut off, with and without the
// store itself, and it forgets its history; each schedule is one seed.
TEST_P(TableFollowing, HostsInTouchKnowWhatTheStoreAcknowledged) {
  constexpr std::uint64_t kSchedules = 1000;
  for (std::uint64_t seed = 1; seed <= kSchedules && Holds(seed); ++seed) {
  }
}

// Seeds that failed once, beyond the range above.
TEST_P(TableFollowing, SeedsThatFailedOnceHold) {
  for (const std::uint64_t seed : {5919, 3986}) {
    if (!Holds(seed)) {
      return;
    }
  }
}

/// @brief A store that refuses every second call, and else tells a change.
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

// The store turns a host away, takes it back and turns it away again, several
// times a second. Other hosts, which have requests to serve, are asked by it no
// more often than by a host that is turned away for good.
TEST(TableFollowerTest, AFlappingStoreDoesNotMultiplyQuestionsToOthers) {
  constexpr Duration kFlapping = seconds(10);
  constexpr Duration kBetweenQuestions = milliseconds(400);
  VirtualTime time;
  HostTimers timers(time, 0);
  FlappingSource source(timers);
  fakes::SeededRandom random(2);
  HeardRows heard;
  int questions = 0;
  TableFollower follower(
      {.timers = timers, .store = source, .random = random, .listener = heard},
      {.table = "t",
       .timing = kDirectReadTiming,
       .ask_peer = [&](const RowsRequest&, RowsCallback callback) {
         ++questions;
         timers.RunAfter(milliseconds(1), [callback = std::move(callback)] {
           callback(RowFailure::kRefused);
         });
       }});
  follower.Start();
  time.RunUntil(time.Now() + kFlapping);

  EXPECT_GT(questions, 0);
  EXPECT_LE(questions, kFlapping / kBetweenQuestions + 1);
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         TableFollowing,
                         testing::Values(2, 4, 7, 12),
                         [](const auto& info) {
                           return "of_" + std::to_string(info.param);
                         });

}  // namespace
}  // namespace medlarcroft::replication
