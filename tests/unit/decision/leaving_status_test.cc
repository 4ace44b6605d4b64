#include "medlarcroft/decision/leaving_status.h"

#include <gtest/gtest.h>

namespace medlarcroft::decision {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

// The caller sees: no request lands on the target again. In order: it says that
// it drains; a snapshot made before that still says it stays. Why: the sources
// lag, so a sign of life may be older than the sign of leaving.
TEST(LeavingStatus, AnOlderSignOfLifeDoesNotUndoIt) {
  LeavingStatus mark;
  mark.OnSign(kNow);

  mark.OnSnapshot(/*is_leaving=*/false, kNow + seconds(1));

  EXPECT_TRUE(mark.IsLeaving(kNow + seconds(1)));
}

TEST(LeavingStatus, TheSnapshotUndoesWhatItConfirmed) {
  LeavingStatus mark;
  mark.OnSign(kNow);
  mark.OnSnapshot(/*is_leaving=*/true, kNow + seconds(2));
  mark.OnSnapshot(/*is_leaving=*/false, kNow + minutes(2));

  EXPECT_FALSE(mark.IsLeaving(kNow + minutes(2)));
}

TEST(LeavingStatus, AnUnconfirmedMarkEnds) {
  LeavingStatus mark;
  mark.OnSign(kNow);

  EXPECT_TRUE(mark.IsLeaving(kNow + minutes(14)));
  EXPECT_FALSE(mark.IsLeaving(kNow + minutes(15)));
}

// The caller sees: a target that was drained for a short repair serves again.
// In order: it says that it drains, the hosts tell each other, it says that it
// stays. Why: what the snapshot says is no sight of this host's own; reported
// as such it would confirm itself for ever.
TEST(LeavingStatus, TheSnapshotsWordIsNotReportedAsAnOwnSign) {
  LeavingStatus mark;
  mark.OnSnapshot(/*is_leaving=*/true, kNow);

  EXPECT_TRUE(mark.IsLeaving(kNow));
  EXPECT_FALSE(mark.IsSigned(kNow));
}

// The caller sees: no request lands on a target that leaves. In order: it is
// asked, it says that it drains on another connection, then the older answer
// arrives and says that it stays. Why: only a question put later counts.
TEST(LeavingStatus, OnlyALaterWordOfTheTargetEndsItsSign) {
  LeavingStatus mark;
  mark.OnSign(kNow);

  mark.OnStayingSign(kNow - seconds(1));
  EXPECT_TRUE(mark.IsLeaving(kNow));

  mark.OnStayingSign(kNow + seconds(1));
  EXPECT_FALSE(mark.IsLeaving(kNow + seconds(2)));
}

// The caller sees: no request lands on a target that an operator drains. In
// order: the snapshot shows the drain, the target itself says that it stays.
// Why: a target need not know that its operator wants it empty.
TEST(LeavingStatus, TheTargetsWordDoesNotUndoTheSnapshots) {
  LeavingStatus mark;
  mark.OnSnapshot(/*is_leaving=*/true, kNow);
  mark.OnStayingSign(kNow + seconds(1));

  EXPECT_TRUE(mark.IsLeaving(kNow + seconds(2)));
}

}  // namespace
}  // namespace medlarcroft::decision
