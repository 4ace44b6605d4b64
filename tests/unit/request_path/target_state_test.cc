#include "medlarcroft/request_path/target_state.h"

#include <gtest/gtest.h>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;

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
    EXPECT_LE(target_.RelativeTime(), 1.05);
  }
}

// Guards against a slow target that is not recognized because each of its
// requests looks like a rare long one.
TEST_F(TargetStateTest, LongRequestsInARowShowASlowTarget) {
  for (int request = 0; request < 10; ++request) {
    Answer(5.0);
  }
  EXPECT_GT(target_.RelativeTime(), 3.0);
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
