#include "medlarcroft/emulation/emulated_target.h"

#include <gtest/gtest.h>

#include <vector>

namespace medlarcroft::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EmulatedTargetTest : public testing::Test {
 protected:
  std::optional<EmulatedTarget::WorkId> Submit(const std::string& object) {
    return target_.Submit(
        {.object = object, .time = milliseconds(100), .warm_factor = 0.3},
        [this](const request_path::LoadReport& report) {
          ended_.push_back(events_.Now() - start_time_);
          last_report_ = report;
        });
  }
  void RunFor(Duration time) { events_.RunUntil(events_.Now() + time); }

  EventQueue events_;
  MonotonicTime start_time_ = events_.Now();
  EmulatedTarget target_{events_,
                         {.slots = 2, .queue = 1, .cached_objects = 2},
                         1.0};
  std::vector<Duration> ended_;
  request_path::LoadReport last_report_;
};

TEST_F(EmulatedTargetTest, RunsInSlotsThenQueuesThenRefuses) {
  EXPECT_TRUE(Submit("a"));
  EXPECT_TRUE(Submit("b"));
  EXPECT_TRUE(Submit("c"));
  EXPECT_FALSE(Submit("d"));
  EXPECT_EQ(target_.Report().running, 2U);
  EXPECT_EQ(target_.Report().waiting, 1U);
  RunFor(seconds(1));
  EXPECT_EQ(ended_, (std::vector<Duration>{milliseconds(100), milliseconds(100),
                                           milliseconds(200)}));
  EXPECT_EQ(last_report_.running, 0U);
}

TEST_F(EmulatedTargetTest, CachedObjectsAreProcessedFaster) {
  Submit("a");
  RunFor(milliseconds(100));
  Submit("a");
  RunFor(milliseconds(100));
  EXPECT_EQ(ended_.back(), milliseconds(130));
  EXPECT_EQ(target_.WarmRuns(), 1U);
}

TEST_F(EmulatedTargetTest, EvictsLeastRecentlyUsedObject) {
  for (const char* const object : {"a", "b", "c", "a"}) {
    Submit(object);
    RunFor(milliseconds(100));
  }
  EXPECT_EQ(target_.WarmRuns(), 0U);
}

// Cancelled work must free its slot at once, so that queued work starts.
TEST_F(EmulatedTargetTest, CancelledWorkFreesItsSlot) {
  const auto first = Submit("a");
  Submit("b");
  Submit("c");
  RunFor(milliseconds(10));
  target_.Cancel(*first);
  RunFor(seconds(1));
  EXPECT_EQ(ended_,
            (std::vector<Duration>{milliseconds(100), milliseconds(110)}));
}

}  // namespace
}  // namespace medlarcroft::emulation
