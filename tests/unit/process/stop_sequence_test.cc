#include "medlarcroft/process/stop_sequence.h"

#include <gtest/gtest.h>

namespace medlarcroft::process {
namespace {

using std::chrono::seconds;

const MonotonicTime kStart{seconds(100)};
constexpr StopSequence::Options kOptions{.announce_time = seconds(6),
                                         .finish_limit = seconds(60)};

// A host shuts down while callers cache look-up answers that name it. Its port
// must stay open until those answers have expired, and requests that are in
// flight then must end before the process exits.
TEST(StopSequence, ServesUntilLookupAnswersExpireAndRequestsEnd) {
  StopSequence sequence(kOptions);
  sequence.Advance(0, kStart);
  EXPECT_EQ(sequence.Phase(), StopPhase::kServing);

  sequence.OnSignal(1, kStart);
  sequence.Advance(0, kStart + seconds(5));
  EXPECT_EQ(sequence.Phase(), StopPhase::kAnnouncing);

  sequence.Advance(2, kStart + seconds(6));
  EXPECT_EQ(sequence.Phase(), StopPhase::kFinishing);
  sequence.Advance(0, kStart + seconds(8));
  EXPECT_EQ(sequence.Phase(), StopPhase::kStopped);
  EXPECT_EQ(sequence.Cut(), 0U);
}

// Guards against a stop that ends before it has counted what waited at its port
// when that closed.
TEST(StopSequence, CountsWhatArrivedBeforeThePortClosed) {
  StopSequence sequence(kOptions);
  sequence.OnSignal(1, kStart);
  sequence.Advance(0, kStart + seconds(6));
  EXPECT_EQ(sequence.Phase(), StopPhase::kFinishing);
  sequence.Advance(1, kStart + seconds(6));
  EXPECT_EQ(sequence.Phase(), StopPhase::kFinishing);
  sequence.Advance(0, kStart + seconds(7));
  EXPECT_EQ(sequence.Phase(), StopPhase::kStopped);
}

TEST(StopSequence, LimitAbortsAndCountsStuckRequests) {
  StopSequence sequence(kOptions);
  sequence.OnSignal(1, kStart);
  sequence.Advance(1, kStart + seconds(6));
  sequence.Advance(1, kStart + seconds(65));
  EXPECT_EQ(sequence.Phase(), StopPhase::kFinishing);
  sequence.Advance(1, kStart + seconds(66));
  EXPECT_EQ(sequence.Phase(), StopPhase::kStopped);
  EXPECT_EQ(sequence.Cut(), 1U);
}

// Guards against requests that are taken although the process ends before they
// can be answered.
TEST(StopSequence, TellsItsLatestEnd) {
  StopSequence sequence(kOptions);
  sequence.OnSignal(1, kStart);
  EXPECT_EQ(sequence.LatestEnd(kStart), kStart + seconds(66));
  sequence.Advance(1, kStart + seconds(6));
  EXPECT_EQ(sequence.LatestEnd(kStart + seconds(6)), kStart + seconds(66));
  sequence.OnSignal(2, kStart + seconds(7));
  EXPECT_EQ(sequence.LatestEnd(kStart + seconds(7)), kStart + seconds(7));
}

TEST(StopSequence, SecondSignalStopsAtOnceAndCountsAbortedRequests) {
  StopSequence sequence(kOptions);
  sequence.OnSignal(1, kStart);
  sequence.OnSignal(2, kStart + seconds(1));
  sequence.Advance(3, kStart + seconds(1));
  EXPECT_EQ(sequence.Phase(), StopPhase::kStopped);
  EXPECT_EQ(sequence.Cut(), 3U);
}

}  // namespace
}  // namespace medlarcroft::process
