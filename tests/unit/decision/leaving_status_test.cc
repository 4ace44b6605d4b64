#include "medlarcroft/decision/leaving_status.h"

#include <gtest/gtest.h>

namespace medlarcroft::decision {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

// The target reports that it is draining, then a snapshot built before that
// report arrives and does not list it as leaving. The sources have different
// delays, so the outdated snapshot must not send new requests to the target.
TEST(LeavingStatus, OutdatedSnapshotDoesNotRevokeReport) {
  LeavingStatus mark;
  mark.OnLeavingReport(kNow);

  mark.OnSnapshot(/*is_leaving=*/false, kNow + seconds(1));

  EXPECT_TRUE(mark.IsLeaving(kNow + seconds(1)));
}

TEST(LeavingStatus, SnapshotRevokesReportThatItHadConfirmed) {
  LeavingStatus mark;
  mark.OnLeavingReport(kNow);
  mark.OnSnapshot(/*is_leaving=*/true, kNow + seconds(2));
  mark.OnSnapshot(/*is_leaving=*/false, kNow + minutes(2));

  EXPECT_FALSE(mark.IsLeaving(kNow + minutes(2)));
}

TEST(LeavingStatus, UnconfirmedReportExpires) {
  LeavingStatus mark;
  mark.OnLeavingReport(kNow);

  EXPECT_TRUE(mark.IsLeaving(kNow + minutes(14)));
  EXPECT_FALSE(mark.IsLeaving(kNow + minutes(15)));
}

// A target reports that it is draining for a short repair, the hosts inform
// each other, and the target then reports that it is staying; it must be used
// again. If a host reported what the snapshot says as its own observation, the
// hosts would confirm each other indefinitely.
TEST(LeavingStatus, SnapshotIsNotReportedAsOwnObservation) {
  LeavingStatus mark;
  mark.OnSnapshot(/*is_leaving=*/true, kNow);

  EXPECT_TRUE(mark.IsLeaving(kNow));
  EXPECT_FALSE(mark.IsReportedLeaving(kNow));
}

// The target is queried, then reports on another connection that it is
// draining, and then the answer to the earlier query arrives and says that it
// is staying. Only an answer to a later query may make the target usable again.
TEST(LeavingStatus, OnlyALaterQueryRevokesTheReportOfTheTarget) {
  LeavingStatus mark;
  mark.OnLeavingReport(kNow);

  mark.OnStayingReport(kNow - seconds(1));
  EXPECT_TRUE(mark.IsLeaving(kNow));

  mark.OnStayingReport(kNow + seconds(1));
  EXPECT_FALSE(mark.IsLeaving(kNow + seconds(2)));
}

// The snapshot lists a target as leaving because an operator drains it, while
// the target itself, which may not know of that, reports that it is staying. It
// must not get new requests.
TEST(LeavingStatus, ReportOfTheTargetDoesNotRevokeTheSnapshot) {
  LeavingStatus mark;
  mark.OnSnapshot(/*is_leaving=*/true, kNow);
  mark.OnStayingReport(kNow + seconds(1));

  EXPECT_TRUE(mark.IsLeaving(kNow + seconds(2)));
}

}  // namespace
}  // namespace medlarcroft::decision
