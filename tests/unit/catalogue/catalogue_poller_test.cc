#include "medlarcroft/catalogue/catalogue_poller.h"

#include <gtest/gtest.h>

#include "fakes/catalogue_platform.h"
#include "medlarcroft/catalogue/platform_rate_limiter.h"

namespace medlarcroft::catalogue {
namespace {

using fakes::DomainChange;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host with its rate limiter, replica and poller on a shared platform.
struct Node {
  explicit Node(fakes::CataloguePlatform& shared,
                PlatformRateLimiter::Options options = {})
      : platform(shared), rate_limiter(options, shared.clock) {}

  fakes::CataloguePlatform& platform;
  PlatformRateLimiter rate_limiter;
  RateLimitedTableStore table{platform.table, rate_limiter};
  RateLimitedObjectStore objects{platform.objects, rate_limiter};
  CatalogueReader reader{table, objects};
  CatalogueReplica replica{{}, platform.clock};
  CataloguePoller poller{{},
                         {.reader = reader,
                          .replica = replica,
                          .clock = platform.clock,
                          .random = platform.random}};
};

class CataloguePollerTest : public testing::Test {
 protected:
  void Accept(int count) {
    for (int i = 0; i < count; ++i) {
      ASSERT_TRUE(IsOk(store_.Accept(
          DomainChange("c" + std::to_string(version_), "a", version_))));
      ++version_;
    }
  }

  /// Steps the poller for `duration` of virtual time, with the waits that it
  /// returns.
  void Run(Node& node, bool is_relay, Duration duration) {
    const MonotonicTime end = platform_.clock.Now() + duration;
    while (platform_.clock.Now() < end) {
      platform_.clock.Advance(node.poller.Step(is_relay));
    }
  }

  fakes::CataloguePlatform platform_;
  CatalogueStore store_ = platform_.MakeStore();
  std::uint64_t version_ = 0;
};

TEST_F(CataloguePollerTest, ReadsChangesAndColdStartsFromSnapshot) {
  Accept(150);
  Node node(platform_);

  node.poller.Step(true);
  EXPECT_EQ(node.replica.Revision(), 150U);
  EXPECT_TRUE(node.replica.IsReady());
  EXPECT_EQ(node.rate_limiter.Counts().reads, 4U);

  Accept(1);
  node.poller.Step(true);
  EXPECT_EQ(node.replica.Revision(), 151U);
}

// The platform is down when a diskless host starts, and stays down. The host
// gets the catalogue from a peer in its domain and becomes ready.
TEST_F(CataloguePollerTest, ColdStartsFromPeerWhilePlatformIsDown) {
  Accept(70);
  Node peer(platform_);
  peer.poller.Step(true);
  platform_.table.SetDown(true);
  Node fresh(platform_);

  fresh.poller.Step(true);
  EXPECT_FALSE(fresh.replica.IsReady());
  fresh.replica.NoteRevision(peer.replica.Revision(), RevisionSource::kPeer);
  EXPECT_FALSE(fresh.replica.IsReady());
  (void)fresh.replica.Apply(
      peer.replica.ChangesSince(fresh.replica.Revision(), 100),
      RevisionSource::kPeer);

  EXPECT_TRUE(fresh.replica.IsReady());
  EXPECT_EQ(fresh.replica.Revision(), 70U);
  EXPECT_FALSE(fresh.rate_limiter.Reachability().is_reachable);
}

// A lagging replica of the table returns an older head than the one held. The
// host must neither revert nor lose its readiness.
TEST_F(CataloguePollerTest, IgnoresStaleHead) {
  Accept(3);
  Node ahead(platform_);
  platform_.table.FreezeReads();
  platform_.table.UnfreezeReads();
  ahead.poller.Step(true);
  const Delta all = ahead.replica.ChangesSince(0, 10);
  platform_.table.FreezeReads();

  Node node(platform_);
  Delta further = all;
  Change next = all.changes.back();
  next.revision = 4;
  further.changes.push_back(next);
  further.to_revision = 4;
  (void)node.replica.Apply(further, RevisionSource::kPeer);
  node.poller.Step(true);

  EXPECT_EQ(node.replica.Revision(), 4U);
  EXPECT_TRUE(node.replica.IsReady());
  EXPECT_EQ(node.poller.FailedSteps(), 0U);
}

// A replica of the table shows a new head but not yet the row of its change.
// The step fails and is repeated; no revision is skipped and no entry is lost.
TEST_F(CataloguePollerTest, RereadsHeadWithoutItsChange) {
  Accept(1);
  Node node(platform_);
  node.poller.Step(true);
  node.replica.NoteRevision(2, RevisionSource::kPeer);
  EXPECT_EQ(node.replica.Revision(), 1U);
  EXPECT_FALSE(node.replica.IsCurrent());

  Accept(1);
  node.poller.Step(true);
  EXPECT_TRUE(node.replica.IsCurrent());
}

TEST_F(CataloguePollerTest, DoesNotReadPlatformWhilePeersDeliver) {
  Accept(1);
  Node node(platform_);
  for (int i = 0; i < 100; ++i) {
    node.replica.NoteRevision(0, RevisionSource::kPeer);
    platform_.clock.Advance(node.poller.Step(false));
  }

  EXPECT_EQ(node.rate_limiter.Counts().reads, 0U);
  EXPECT_EQ(node.poller.Reason(), PollReason::kNone);
}

// A host that is not a relay loses all its peers. It would receive no more
// changes, so after some time it polls the head itself.
TEST_F(CataloguePollerTest, ReadsPlatformWhenPeersAreSilent) {
  Accept(2);
  Node node(platform_);

  Run(node, false, seconds(4));
  EXPECT_EQ(node.replica.Revision(), 0U);
  Run(node, false, seconds(8));

  EXPECT_EQ(node.replica.Revision(), 2U);
  EXPECT_EQ(node.poller.Reason(), PollReason::kPeersSilent);
}

// Peers keep announcing a revision that none of them delivers.
TEST_F(CataloguePollerTest, ReadsUndeliveredRevisionFromPlatform) {
  Accept(2);
  Node node(platform_);
  for (int i = 0; i < 30; ++i) {
    node.replica.NoteRevision(2, RevisionSource::kPeer);
    platform_.clock.Advance(node.poller.Step(false));
  }

  EXPECT_EQ(node.replica.Revision(), 2U);
}

// The platform is down for ten minutes while relays poll it, then recovers
// with a change. Polls must become less frequent during the outage, and the
// change must still be in force within the 18 s that owners expect.
TEST_F(CataloguePollerTest, BacksOffDuringOutageAndRecoversInTime) {
  Accept(1);
  Node node(platform_);
  node.poller.Step(true);
  platform_.table.SetDown(true);
  const auto reads = node.rate_limiter.Counts().reads;

  Run(node, true, std::chrono::minutes(10));
  EXPECT_LE(node.rate_limiter.Counts().reads - reads, 110U);
  EXPECT_GE(node.poller.FailedSteps(), 50U);

  platform_.table.SetDown(false);
  Accept(1);
  const MonotonicTime back = platform_.clock.Now();
  while (!node.replica.IsReady() || node.replica.Revision() < 2) {
    platform_.clock.Advance(node.poller.Step(true));
  }
  EXPECT_LE(platform_.clock.Now() - back, seconds(12));
}

// Each read takes four seconds. The step is late but succeeds, and reads of the
// view continue meanwhile: only this step waits for the platform.
TEST_F(CataloguePollerTest, SlowPlatformDelaysOnlyTheStep) {
  Accept(2);
  Node node(platform_);
  platform_.table.SetLatency(&platform_.clock, seconds(4));

  node.poller.Step(true);

  EXPECT_EQ(node.replica.Revision(), 2U);
  EXPECT_EQ(node.poller.FailedSteps(), 0U);
}

// Of the 18 s in which a change must be in force everywhere, a domain's relays
// take one poll; the rest is left for peers, retries and the loss of a relay.
TEST_F(CataloguePollerTest, ChangeReachesDomainWithinOnePoll) {
  Node nodes[] = {Node(platform_), Node(platform_)};
  MonotonicTime due[] = {platform_.clock.Now(), platform_.clock.Now()};
  const auto step_next = [&](MonotonicTime until) {
    const std::size_t next = due[0] <= due[1] ? 0 : 1;
    if (due[next] > until) {
      platform_.clock.Advance(until - platform_.clock.Now());
      return false;
    }
    platform_.clock.Advance(due[next] - platform_.clock.Now());
    due[next] += nodes[next].poller.Step(true);
    return true;
  };

  constexpr int kTried = 200;
  Duration longest{};
  Duration sum{};
  for (int i = 0; i < kTried; ++i) {
    const MonotonicTime accepted =
        platform_.clock.Now() + FromSeconds(5 * platform_.random.NextUnit());
    while (step_next(accepted)) {
    }
    Accept(1);
    while (nodes[0].replica.Revision() < version_ &&
           nodes[1].replica.Revision() < version_) {
      step_next(MonotonicTime::max());
    }
    const Duration taken = platform_.clock.Now() - accepted;
    longest = std::max(longest, taken);
    sum += taken;
  }

  RecordProperty("mean_ms", static_cast<int>(ToMilliseconds(sum / kTried)));
  RecordProperty("longest_ms", static_cast<int>(ToMilliseconds(longest)));
  EXPECT_LE(longest, milliseconds(1250));
  EXPECT_LE(sum / kTried, milliseconds(600));
}

TEST_F(CataloguePollerTest, SpreadsPollsOfManyHosts) {
  std::vector<Duration> waits;
  for (int i = 0; i < 20; ++i) {
    Node node(platform_);
    waits.push_back(node.poller.Step(true));
  }

  const auto [least, most] = std::minmax_element(waits.begin(), waits.end());
  EXPECT_GE(*least, milliseconds(750));
  EXPECT_LE(*most, milliseconds(1250));
  EXPECT_GE(*most - *least, milliseconds(200));
}

TEST(PlatformRateLimiterTest, RefusesCallsAboveRateAndCountsThem) {
  fakes::ManualClock clock;
  fakes::FakeTableStore table;
  PlatformRateLimiter rate_limiter({.reads_per_second = 2,
                                    .read_burst = 5,
                                    .writes_per_second = 0.5,
                                    .write_burst = 1},
                                   clock);
  RateLimitedTableStore store(table, rate_limiter);

  for (int i = 0; i < 400; ++i) {
    (void)store.Read("k");
    (void)store.Commit({});
    clock.Advance(milliseconds(25));
  }

  const PlatformCallCounts counts = rate_limiter.Counts();
  EXPECT_EQ(table.Reads(), counts.reads);
  EXPECT_EQ(table.Commits(), counts.writes);
  EXPECT_NEAR(counts.reads, 5 + 2 * 10, 1);
  EXPECT_NEAR(counts.writes, 1 + 0.5 * 10, 1);
  EXPECT_EQ(counts.reads + counts.refused_reads, 400U);
  EXPECT_EQ(counts.writes + counts.refused_writes, 400U);
  EXPECT_EQ(ErrorOf(store.Commit({})), ports::StoreFailure::kUnavailable);
}

}  // namespace
}  // namespace medlarcroft::catalogue
