#include "medlarcroft/request_path/crash_tracker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
// After crashes at `kStart`, all hosts' reports of that moment have arrived.
constexpr MonotonicTime kDecided =
    kStart + CrashTracker::Options{}.decision_delay;
const auto kRequest = RequestFingerprint::Of({"caller", "GET", "h", "/x", ""});

TargetNumber Target(std::uint32_t number) {
  return TargetNumber{number};
}

class CrashTrackerTest : public testing::Test, public CrashObserver {
 protected:
  CrashTrackerTest() { tracker_.Observe(this); }

  void OnPublish(const CrashReport& report) override {
    published_.push_back(report);
  }
  void OnBlocked(RequestFingerprint /*request*/,
                 Duration /*blocked_for*/,
                 bool is_own) override {
    ++blocked_;
    is_own_ = is_own;
  }
  void OnUnblocked(RequestFingerprint /*request*/) override { ++unblocked_; }
  void OnHeld(RequestFingerprint /*request*/, Duration /*delay*/) override {
    ++held_;
  }

  [[nodiscard]] bool IsBlocked(MonotonicTime now = kStart) const {
    return tracker_.BlockedFor(kRequest, now).has_value();
  }
  [[nodiscard]] std::size_t CountPublished(CrashReportKind kind) const {
    std::size_t count = 0;
    for (const CrashReport& report : published_) {
      count += report.kind == kind ? 1 : 0;
    }
    return count;
  }
  void ReportCrash(std::uint32_t target, MonotonicTime now = kStart) {
    tracker_.OnReport({.request = kRequest, .target = Target(target)}, now);
  }

  CrashTracker tracker_{{}};
  std::vector<CrashReport> published_;
  int blocked_ = 0;
  int unblocked_ = 0;
  int held_ = 0;
  bool is_own_ = false;
};

// Different requests must not be blocked together.
TEST(RequestFingerprintTest, EachPartChangesTheFingerprint) {
  const std::vector<RequestFingerprint> others = {
      RequestFingerprint::Of({"other", "GET", "h", "/x", ""}),
      RequestFingerprint::Of({"caller", "POST", "h", "/x", ""}),
      RequestFingerprint::Of({"caller", "GET", "i", "/x", ""}),
      RequestFingerprint::Of({"caller", "GET", "h", "/y", ""}),
      RequestFingerprint::Of({"caller", "GET", "h", "/x", "b"}),
      RequestFingerprint::Of({"caller", "GET", "h/x", "", ""})};
  for (const RequestFingerprint& other : others) {
    EXPECT_NE(other, kRequest);
  }
  EXPECT_EQ(RequestFingerprint::Of({"caller", "GET", "h", "/x", ""}), kRequest);
}

struct CrashCountCase {
  std::string name;
  std::vector<std::uint32_t> own;
  std::vector<std::uint32_t> reported;
  bool is_blocked;
};

class CrashCountTable : public CrashTrackerTest,
                        public testing::WithParamInterface<CrashCountCase> {};

// Crashes of all hosts add up, and repeated reports of a crash count once.
TEST_P(CrashCountTable, CountsDistinctTargetsAcrossHosts) {
  for (const std::uint32_t target : GetParam().own) {
    tracker_.OnCrash(kRequest, Target(target), kStart);
  }
  for (const std::uint32_t target : GetParam().reported) {
    ReportCrash(target);
  }
  // Nothing more is sent from the third crash on, decided or not.
  EXPECT_EQ(IsBlocked(), GetParam().is_blocked);
  EXPECT_EQ(held_, GetParam().is_blocked ? 1 : 0);
  tracker_.Advance(kDecided);
  EXPECT_EQ(IsBlocked(kDecided), GetParam().is_blocked);
  EXPECT_EQ(blocked_, GetParam().is_blocked ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    CrashCountTable,
    testing::Values(
        CrashCountCase{"two_own", {1, 2}, {}, false},
        CrashCountCase{"three_own", {1, 2, 3}, {}, true},
        CrashCountCase{"three_reported", {}, {1, 2, 3}, true},
        CrashCountCase{"mixed", {1}, {2, 3}, true},
        CrashCountCase{"one_crash_reported_often", {1}, {1, 1, 1, 1}, false},
        CrashCountCase{"two_reported_twice", {}, {1, 2, 1, 2}, false}),
    [](const auto& info) { return info.param.name; });

// A request that ran concurrently with the crashing one succeeds on the next
// target and must not be blocked on any host.
TEST_F(CrashTrackerTest, ResponseClearsRequestOnAllHosts) {
  tracker_.OnCrash(kRequest, Target(1), kStart);
  ReportCrash(2);
  tracker_.OnAnswered(kRequest, kStart + milliseconds(300));
  EXPECT_EQ(CountPublished(CrashReportKind::kAnswered), 1U);
  ReportCrash(3, kStart + seconds(5));
  EXPECT_FALSE(IsBlocked(kStart + seconds(5)));
}

// A frequent request must not be blocked when several targets crash for an
// unrelated reason.
TEST_F(CrashTrackerTest, RecentlyAnsweredRequestIsNotBlocked) {
  tracker_.OnAnswered(kRequest, kStart);
  for (std::uint32_t target = 1; target <= 5; ++target) {
    ReportCrash(target, kStart + milliseconds(1500));
  }
  EXPECT_FALSE(IsBlocked(kStart + milliseconds(1500)));
  EXPECT_EQ(CountPublished(CrashReportKind::kAnswered), 1U);
}

// A request that starts to crash targets must be blocked despite old responses.
TEST_F(CrashTrackerTest, ExpiredResponseDoesNotPreventBlocking) {
  tracker_.OnAnswered(kRequest, kStart);
  for (std::uint32_t target = 1; target <= 3; ++target) {
    ReportCrash(target, kStart + milliseconds(2100));
  }
  EXPECT_TRUE(IsBlocked(kStart + milliseconds(2100)));
}

// A host that was disconnected or restarted may miss the block. A crash report
// from it triggers another report of the block, at most once per second.
TEST_F(CrashTrackerTest, RepeatsBlockToHostThatStillSends) {
  for (std::uint32_t target = 1; target <= 3; ++target) {
    tracker_.OnCrash(kRequest, Target(target), kStart);
  }
  tracker_.Advance(kDecided);
  EXPECT_EQ(CountPublished(CrashReportKind::kBlocked), 1U);
  ReportCrash(7, kDecided + milliseconds(500));
  EXPECT_EQ(CountPublished(CrashReportKind::kBlocked), 1U);
  ReportCrash(8, kDecided + seconds(2));
  EXPECT_EQ(CountPublished(CrashReportKind::kBlocked), 2U);
}

TEST_F(CrashTrackerTest, HostWithoutOwnCrashesPublishesNothing) {
  for (std::uint32_t target = 1; target <= 4; ++target) {
    ReportCrash(target);
  }
  tracker_.Advance(kDecided);
  EXPECT_TRUE(IsBlocked(kDecided));
  EXPECT_TRUE(published_.empty());
  EXPECT_FALSE(is_own_);
  EXPECT_TRUE(tracker_.ReportsToRepeat(10, kStart).empty());
}

TEST_F(CrashTrackerTest, RepeatsCrashesBrieflyAndBlocksUntilExpiry) {
  tracker_.OnCrash(kRequest, Target(1), kStart);
  EXPECT_EQ(tracker_.ReportsToRepeat(10, kStart + seconds(4)).size(), 1U);
  EXPECT_TRUE(tracker_.ReportsToRepeat(10, kStart + seconds(6)).empty());
  ReportCrash(2, kStart + seconds(6));
  ReportCrash(3, kStart + seconds(6));
  tracker_.Advance(kStart + seconds(8));
  const auto reports = tracker_.ReportsToRepeat(10, kStart + minutes(2));
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].kind, CrashReportKind::kBlocked);
  EXPECT_LE(reports[0].blocked_for, Duration(minutes(10)));
}

// A block must expire, since the target may have been fixed.
TEST_F(CrashTrackerTest, BlockExpires) {
  tracker_.OnReport({.kind = CrashReportKind::kBlocked,
                     .request = kRequest,
                     .blocked_for = minutes(3)},
                    kStart);
  EXPECT_TRUE(IsBlocked(kStart + minutes(2)));
  EXPECT_FALSE(IsBlocked(kStart + minutes(4)));
  tracker_.Advance(kStart + minutes(4));
  EXPECT_EQ(tracker_.BlockedRequests(), 0U);
}

TEST_F(CrashTrackerTest, UnblockLiftsBlock) {
  for (std::uint32_t target = 1; target <= 3; ++target) {
    ReportCrash(target);
  }
  tracker_.Advance(kDecided);
  EXPECT_TRUE(IsBlocked(kDecided));
  tracker_.Unblock(kRequest);
  EXPECT_FALSE(IsBlocked(kDecided));
  EXPECT_EQ(unblocked_, 1);
}

// Blocks beyond the limit per call must be repeated by later calls. Otherwise a
// host that missed the report of such a block keeps sending the request.
TEST_F(CrashTrackerTest, RepeatsAllBlocksInTurn) {
  constexpr std::uint64_t kRequests = 25;
  for (std::uint64_t number = 1; number <= kRequests; ++number) {
    for (std::uint32_t target = 1; target <= 3; ++target) {
      tracker_.OnCrash(RequestFingerprint::FromValue(number), Target(target),
                       kStart);
    }
  }
  tracker_.Advance(kDecided);
  std::set<RequestFingerprint> repeated;
  for (int round = 0; round < 3; ++round) {
    for (const CrashReport& report :
         tracker_.ReportsToRepeat(10, kDecided + seconds(round))) {
      repeated.insert(report.request);
    }
  }
  EXPECT_EQ(repeated.size(), kRequests);
}

// Crashes of many other requests must not evict a blocked request.
TEST_F(CrashTrackerTest, BlocksAreEvictedLast) {
  CrashTracker tracker({.max_requests = 10});
  tracker.OnReport({.kind = CrashReportKind::kBlocked,
                    .request = kRequest,
                    .blocked_for = minutes(3)},
                   kStart);
  for (std::uint64_t number = 1; number <= 100; ++number) {
    tracker.OnCrash(RequestFingerprint::FromValue(number), Target(1),
                    kStart + milliseconds(static_cast<int>(number)));
  }
  EXPECT_TRUE(tracker.BlockedFor(kRequest, kStart + seconds(1)).has_value());
}

struct End {
  int at_ms;
  std::uint32_t target;
  /// Requests that ran on the target; `kSuspect` is the one in question.
  std::vector<std::uint64_t> requests;
};
constexpr std::uint64_t kSuspect = 1;

struct EvidenceCase {
  std::string name;
  std::vector<End> ends;
  bool is_blocked;
};

/// @return ends at `at_ms` of targets from `first` on, each under a request of
/// its own, the first of them also under `kSuspect`.
std::vector<End> Wave(int at_ms, std::uint32_t first, std::uint32_t count) {
  std::vector<End> ends;
  for (std::uint32_t target = first; target < first + count; ++target) {
    ends.push_back({at_ms, target, {100 + target}});
  }
  ends.front().requests.push_back(kSuspect);
  return ends;
}

std::vector<End> Join(std::vector<End> ends, const std::vector<End>& others) {
  ends.insert(ends.end(), others.begin(), others.end());
  return ends;
}

class EvidenceTable : public testing::TestWithParam<EvidenceCase> {};

// A request that crashes its targets must be blocked whatever else ends, and
// one that ran where many targets ended, or beside the former, must not.
TEST_P(EvidenceTable, BlocksOnlyRequestsThatAccountForTheEnds) {
  CrashTracker tracker{{}};
  MonotonicTime now = kStart;
  // Reports arrive in another order than the targets ended.
  for (const std::uint32_t parity : {1U, 0U}) {
    for (const End& end : GetParam().ends) {
      if (end.target % 2 != parity) {
        continue;
      }
      now = std::max(now, kStart + milliseconds(end.at_ms + 500));
      for (const std::uint64_t request : end.requests) {
        tracker.OnReport({.request = RequestFingerprint::FromValue(request),
                          .target = Target(end.target),
                          .age = now - (kStart + milliseconds(end.at_ms))},
                         now);
      }
    }
  }
  now += CrashTracker::Options{}.decision_delay;
  tracker.Advance(now);
  EXPECT_EQ(tracker.BlockedFor(RequestFingerprint::FromValue(kSuspect), now)
                .has_value(),
            GetParam().is_blocked);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EvidenceTable,
    testing::Values(EvidenceCase{"in_turn",
                                 {{0, 1, {1}}, {900, 2, {1}}, {1800, 3, {1}}},
                                 true},
                    EvidenceCase{"beside_innocents",
                                 {{0, 1, {1, 5, 6, 7}},
                                  {100, 2, {1, 8, 9}},
                                  {200, 3, {1, 10, 11, 12}}},
                                 true},
                    EvidenceCase{"innocent_beside_it",
                                 {{0, 1, {1, 2}},
                                  {100, 2, {1, 2}},
                                  {200, 3, {1, 2}},
                                  {250, 4, {2}},
                                  {300, 5, {2}}},
                                 false},
                    EvidenceCase{"two_of_them",
                                 {{0, 1, {1}},
                                  {20, 2, {2}},
                                  {100, 3, {1}},
                                  {120, 4, {2}},
                                  {200, 5, {1}},
                                  {220, 6, {2}}},
                                 true},
                    EvidenceCase{"three_of_them",
                                 {{0, 1, {1}},
                                  {10, 2, {2}},
                                  {20, 3, {3}},
                                  {100, 4, {1}},
                                  {110, 5, {2}},
                                  {120, 6, {3}},
                                  {200, 7, {1}},
                                  {210, 8, {2}},
                                  {220, 9, {3}}},
                                 true},
                    EvidenceCase{"three_waves",
                                 Join(Join(Wave(0, 1, 8), Wave(3500, 11, 6)),
                                      Wave(7000, 21, 12)),
                                 false},
                    EvidenceCase{"small_waves",
                                 Join(Join(Wave(0, 1, 3), Wave(3500, 11, 3)),
                                      Wave(7000, 21, 3)),
                                 false},
                    EvidenceCase{
                        "in_a_wave_and_after_it",
                        Join(Wave(0, 1, 12), {{400, 21, {1}}, {800, 22, {1}}}),
                        true},
                    EvidenceCase{"two_alone_and_none_in_a_wave",
                                 Join({{0, 41, {1}}, {600, 42, {1}}},
                                      {{3000, 43, {7}}, {3000, 44, {8}}}),
                                 false}),
    [](const auto& info) { return info.param.name; });

// Crashes of many different requests must not exhaust memory.
TEST_F(CrashTrackerTest, EntryCountIsBounded) {
  CrashTracker tracker({.max_requests = 10});
  for (std::uint64_t number = 1; number <= 100; ++number) {
    const auto request = RequestFingerprint::FromValue(number);
    tracker.OnCrash(request, Target(1),
                    kStart + milliseconds(static_cast<int>(number)));
  }
  EXPECT_EQ(tracker.CrashesOf(RequestFingerprint::FromValue(1)), 0U);
  EXPECT_EQ(tracker.CrashesOf(RequestFingerprint::FromValue(100)), 1U);
}

}  // namespace
}  // namespace medlarcroft::request_path
