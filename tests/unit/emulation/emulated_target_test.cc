#include "medlarcroft/emulation/emulated_target.h"

#include <gtest/gtest.h>

#include <vector>

namespace medlarcroft::emulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EmulatedTargetTest : public testing::Test {
 protected:
  std::optional<EmulatedTarget::WorkId> Ask(const std::string& object) {
    return target_.Arrive(
        {.object = object, .time = milliseconds(100), .warm_part = 0.3},
        [this](const request_path::LoadReport& report) {
          ended_.push_back(events_.Now() - began_);
          last_report_ = report;
        });
  }
  void RunFor(Duration time) { events_.RunUntil(events_.Now() + time); }

  EventQueue events_;
  MonotonicTime began_ = events_.Now();
  EmulatedTarget target_{events_,
                         {.slots = 2, .queue = 1, .remembered_objects = 2},
                         1.0};
  std::vector<Duration> ended_;
  request_path::LoadReport last_report_;
};

TEST_F(EmulatedTargetTest, WorksInItsSlotsQueuesAndTurnsAwayTheRest) {
  EXPECT_TRUE(Ask("a"));
  EXPECT_TRUE(Ask("b"));
  EXPECT_TRUE(Ask("c"));
  EXPECT_FALSE(Ask("d"));
  EXPECT_EQ(target_.Report().running, 2U);
  EXPECT_EQ(target_.Report().waiting, 1U);
  RunFor(seconds(1));
  EXPECT_EQ(ended_, (std::vector<Duration>{milliseconds(100), milliseconds(100),
                                           milliseconds(200)}));
  EXPECT_EQ(last_report_.running, 0U);
}

TEST_F(EmulatedTargetTest, WorksFasterOnWhatItHandledLately) {
  Ask("a");
  RunFor(milliseconds(100));
  Ask("a");
  RunFor(milliseconds(100));
  EXPECT_EQ(ended_.back(), milliseconds(130));
  EXPECT_EQ(target_.WarmRuns(), 1U);
}

TEST_F(EmulatedTargetTest, ForgetsWhatItHandledLongestAgo) {
  for (const char* const object : {"a", "b", "c", "a"}) {
    Ask(object);
    RunFor(milliseconds(100));
  }
  EXPECT_EQ(target_.WarmRuns(), 0U);
}

// A caller leaves: its work ends at once, and who waited behind it begins.
TEST_F(EmulatedTargetTest, WorkThatIsCancelledMakesRoom) {
  const auto first = Ask("a");
  Ask("b");
  Ask("c");
  RunFor(milliseconds(10));
  target_.Cancel(*first);
  RunFor(seconds(1));
  EXPECT_EQ(ended_,
            (std::vector<Duration>{milliseconds(100), milliseconds(110)}));
}

}  // namespace
}  // namespace medlarcroft::emulation
