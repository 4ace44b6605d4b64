#include "medlarcroft/request_path/target_state.h"

#include <gtest/gtest.h>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

class TargetStateTest : public testing::Test {
 protected:
  void Answer(double relative_time) {
    target_.OnSent(ObjectKey("o"), kStart);
    target_.OnEnded(AttemptEnd::kAnswered, relative_time, kStart);
  }

  TargetState target_{{.id = TargetName("t"), .slots = 9}, RegionName("here")};
};

// Guards against one request in thirty that takes seven times as long and makes
// its target look slow.
TEST_F(TargetStateTest, SingleLongRequestIsNoEvidenceOfASlowTarget) {
  for (int request = 0; request < 300; ++request) {
    Answer(request % 33 == 20 ? 7.0 : 1.0);
    EXPECT_LE(target_.RelativeTime(kStart), 1.05);
  }
}

// Guards against a slow target that is not recognized because each of its
// requests looks like a rare long one.
TEST_F(TargetStateTest, LongRequestsInARowShowASlowTarget) {
  for (int request = 0; request < 10; ++request) {
    Answer(5.0);
  }
  EXPECT_GT(target_.RelativeTime(kStart), 3.0);
}

// Guards against a target that recovered while others had room, and that never
// gets a request which would show it.
TEST_F(TargetStateTest, SlownessIsForgottenWithoutEvidence) {
  for (int request = 0; request < 30; ++request) {
    Answer(12.0);
  }
  EXPECT_GT(target_.RelativeTime(kStart + seconds(4)), 10.0);
  EXPECT_EQ(target_.RelativeTime(kStart + seconds(10)), 1.0);
}

// Guards against a silent target whose failures are hidden by hedged attempts.
TEST_F(TargetStateTest, OvertakenAttemptsWithoutAnyAnswerBackOff) {
  for (int request = 0; request < 4; ++request) {
    EXPECT_FALSE(target_.IsBackedOff(kStart));
    target_.OnSent(ObjectKey("o"), kStart);
    target_.OnOvertaken(kStart);
  }
  EXPECT_TRUE(target_.IsBackedOff(kStart));
  EXPECT_FALSE(target_.IsBackedOff(kStart + seconds(1)));
}

// Guards against a slow target that answers and is taken for a silent one.
TEST_F(TargetStateTest, OvertakenAttemptsAmongAnswersDoNotBackOff) {
  for (int request = 0; request < 20; ++request) {
    target_.OnSent(ObjectKey("o"), kStart);
    target_.OnOvertaken(kStart);
    if (request % 3 == 2) {
      Answer(5.0);
    }
  }
  EXPECT_FALSE(target_.IsBackedOff(kStart));
}

struct SlowdownCase {
  double reported;
  Duration age;
  double expected;
};

class SlowdownTable : public TargetStateTest,
                      public testing::WithParamInterface<SlowdownCase> {};

// Guards against an outdated or invalid slowdown that keeps requests away from
// a target.
TEST_P(SlowdownTable, CountsWhileItsReportIsRecent) {
  target_.OnReport({.running = 1, .slots = 9, .slowdown = GetParam().reported},
                   kStart);
  EXPECT_NEAR(target_.SlowdownAt(kStart + GetParam().age), GetParam().expected,
              1e-9);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    SlowdownTable,
    testing::Values(SlowdownCase{2.5, milliseconds(0), 2.5},
                    SlowdownCase{2.5, milliseconds(250), 1.75},
                    SlowdownCase{2.5, milliseconds(500), 1.0},
                    SlowdownCase{2.5, std::chrono::hours(1), 1.0},
                    SlowdownCase{0.5, milliseconds(0), 0.5},
                    SlowdownCase{1e6, milliseconds(0), 10.0},
                    SlowdownCase{1e-6, milliseconds(0), 0.2}));

TEST_F(TargetStateTest, TargetThatReportsNoSlowdownWorksAsUsual) {
  target_.OnReport({.running = 1, .slots = 9}, kStart);
  EXPECT_EQ(target_.SlowdownAt(kStart), 1.0);
}

}  // namespace
}  // namespace medlarcroft::request_path
