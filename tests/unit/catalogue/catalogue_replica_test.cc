#include "medlarcroft/catalogue/catalogue_replica.h"

#include <gtest/gtest.h>

#include "fakes/catalogue_platform.h"
#include "medlarcroft/catalogue/entry_codec.h"

namespace medlarcroft::catalogue {
namespace {

using std::chrono::seconds;

Change SetSeats(std::uint64_t revision, std::uint32_t seats) {
  return {.revision = revision,
          .entry = EntryName("a"),
          .document = FormatEntry({.name = EntryName("a"),
                                   .owner = OwnerName("ops"),
                                   .version = revision,
                                   .revision = revision,
                                   .body = fakes::DomainBody("a", seats)}),
          .change_id = "c" + std::to_string(revision)};
}

/// Returns changes `first` to `last`; revision r sets r seats.
Delta Changes(std::uint64_t first, std::uint64_t last) {
  Delta delta{.from_revision = first - 1, .to_revision = last};
  for (std::uint64_t r = first; r <= last; ++r) {
    delta.changes.push_back(SetSeats(r, static_cast<std::uint32_t>(r)));
  }
  return delta;
}

class CatalogueReplicaTest : public testing::Test {
 protected:
  std::uint32_t Seats() const {
    const auto* domain =
        replica_.View()->FindFailureDomain(FailureDomainName("a"));
    return domain == nullptr ? 0 : domain->seats;
  }

  Result<std::uint64_t, DeltaFault> FromPeer(const Delta& delta) {
    return replica_.Apply(delta, RevisionSource::kPeer);
  }

  fakes::ManualClock clock_;
  CatalogueReplica replica_{{.kept_changes = 8}, clock_};
};

TEST_F(CatalogueReplicaTest, AppliesChangesInOrder) {
  ASSERT_TRUE(IsOk(FromPeer(Changes(1, 3))));

  EXPECT_EQ(replica_.Revision(), 3U);
  EXPECT_EQ(Seats(), 3U);
}

// Peers send duplicate and reordered deltas. A delta that arrives too early is
// rejected until the missing changes arrive, and a repeated or late one must
// not bring an older limit back into force.
TEST_F(CatalogueReplicaTest, DuplicateOrReorderedDeltasNeverRevert) {
  const auto early = FromPeer(Changes(3, 4));
  EXPECT_EQ(ErrorOf(early), DeltaFault::kGap);
  EXPECT_EQ(replica_.Revision(), 0U);

  (void)FromPeer(Changes(1, 2));
  (void)FromPeer(Changes(3, 5));
  for (const Delta& late : {Changes(1, 2), Changes(2, 4), Changes(5, 5)}) {
    EXPECT_EQ(ValueOf(FromPeer(late)), 5U);
    EXPECT_EQ(Seats(), 5U);
  }
}

// A peer that was disconnected sends its older catalogue as a snapshot, which
// must not replace the newer one.
TEST_F(CatalogueReplicaTest, IgnoresOlderSnapshot) {
  CatalogueReplica old({}, clock_);
  (void)old.Apply(Changes(1, 2), RevisionSource::kPeer);
  (void)FromPeer(Changes(1, 4));
  Delta snapshot = old.ChangesSince(0, 10);
  snapshot.is_snapshot = true;

  EXPECT_EQ(ValueOf(FromPeer(snapshot)), 4U);
  EXPECT_EQ(Seats(), 4U);
}

// A host that holds a few changes skips ahead by a snapshot. The changes it
// kept are no longer adjacent to the held revision, so peers behind the
// snapshot must get the snapshot, and peers at its revision the changes that
// follow.
TEST_F(CatalogueReplicaTest, DoesNotServeChangesKeptBeforeSnapshot) {
  CatalogueReplica ahead({.kept_changes = 1}, clock_);
  (void)ahead.Apply(Changes(1, 10), RevisionSource::kPlatform);
  (void)FromPeer(Changes(1, 3));
  (void)FromPeer(ahead.ChangesSince(3, 10));
  (void)FromPeer(Changes(11, 11));

  EXPECT_TRUE(replica_.ChangesSince(2, 10).is_snapshot);
  EXPECT_EQ(replica_.ChangesSince(10, 10).changes.size(), 1U);
}

TEST_F(CatalogueReplicaTest, StopsBeforeDamagedChange) {
  Delta delta = Changes(1, 3);
  delta.changes[1].document = "{\"kind\":";

  EXPECT_EQ(ErrorOf(FromPeer(delta)), DeltaFault::kMalformed);
  EXPECT_EQ(replica_.Revision(), 1U);
  EXPECT_EQ(replica_.Status().refused_deltas, 1U);
}

// A host running a newer version stored a kind that this version does not know.
// The revision must advance and the document must be forwarded unchanged, or
// every older host would stop at this revision; the entry itself is reported as
// not parsed.
TEST_F(CatalogueReplicaTest, ForwardsEntryOfNewerVersionUnchanged) {
  const std::string document = R"({"kind":"quota","entry":"q","limit":3})";
  Delta delta = Changes(1, 2);
  delta.changes.push_back(
      {.revision = 3, .entry = EntryName("q"), .document = document});
  delta.to_revision = 3;

  ASSERT_TRUE(IsOk(FromPeer(delta)));

  EXPECT_EQ(replica_.Status().unparsed_entries,
            std::vector<EntryName>{EntryName("q")});
  EXPECT_EQ(replica_.ChangesSince(2, 10).changes.at(0).document, document);
}

TEST_F(CatalogueReplicaTest, UnparsableChangeKeepsLastParsedLimit) {
  Delta delta = Changes(1, 2);
  delta.changes[1].document =
      R"({"kind":"failure-domain","failure_domain":"a","region":"r","seats":"many"})";

  ASSERT_TRUE(IsOk(FromPeer(delta)));

  EXPECT_EQ(replica_.Revision(), 2U);
  EXPECT_EQ(Seats(), 1U);
  EXPECT_EQ(replica_.Status().unparsed_entries.size(), 1U);
}

// A newly started host learns of revision 5 from one peer, but first receives
// the catalogue at revision 3 from another. Answering from 3 would revert what
// 4 and 5 changed, so it must not be ready before it holds 5.
TEST_F(CatalogueReplicaTest, NewHostWaitsForHighestKnownRevision) {
  EXPECT_EQ(replica_.Status().not_ready_reasons,
            std::vector{NotReadyReason::kNoRevisionReceived});
  replica_.NoteRevision(5, RevisionSource::kPeer);
  (void)FromPeer(Changes(1, 3));

  EXPECT_FALSE(replica_.IsReady());
  EXPECT_EQ(replica_.Status().not_ready_reasons,
            std::vector{NotReadyReason::kBehindHighestSeen});
  (void)FromPeer(Changes(4, 5));
  EXPECT_TRUE(replica_.IsReady());
}

// All hosts of a domain start at once and first report revision 0 to each
// other. If that made them ready, they would answer from each old revision
// while they catch up. Revision 0 from the platform does count: it confirms
// that nothing was ever accepted.
TEST_F(CatalogueReplicaTest, NewHostsDoNotMakeEachOtherReady) {
  replica_.NoteRevision(0, RevisionSource::kPeer);
  EXPECT_FALSE(replica_.IsReady());
  EXPECT_EQ(replica_.Status().not_ready_reasons,
            std::vector{NotReadyReason::kNoRevisionReceived});

  replica_.NoteRevision(5, RevisionSource::kPeer);
  (void)FromPeer(Changes(1, 2));
  EXPECT_FALSE(replica_.IsReady());
  (void)FromPeer(Changes(3, 5));
  EXPECT_TRUE(replica_.IsReady());

  CatalogueReplica at_new_platform({}, clock_);
  at_new_platform.NoteRevision(0, RevisionSource::kPlatform);
  EXPECT_TRUE(at_new_platform.IsReady());
}

// A serving host learns of a revision that no source can deliver yet. Ceasing
// to serve would turn one missing change into an outage, so it continues and
// reports that it is behind.
TEST_F(CatalogueReplicaTest, ServingHostStaysReadyWhileBehind) {
  (void)FromPeer(Changes(1, 3));
  clock_.Advance(seconds(10));
  replica_.NoteRevision(4, RevisionSource::kPeer);
  clock_.Advance(seconds(2));

  EXPECT_TRUE(replica_.IsReady());
  EXPECT_FALSE(replica_.IsCurrent());
  EXPECT_EQ(replica_.Status().highest_seen, 4U);
  EXPECT_EQ(replica_.Status().time_in_force, seconds(12));
  EXPECT_EQ(clock_.Now() - *replica_.BehindSince(), seconds(2));
}

TEST_F(CatalogueReplicaTest, RecordsTimeFromFirstSeenToApplied) {
  replica_.NoteRevision(1, RevisionSource::kPeer);
  clock_.Advance(seconds(3));
  (void)FromPeer(Changes(1, 1));

  const auto timings = replica_.Timings();
  ASSERT_EQ(timings.size(), 1U);
  EXPECT_EQ(timings[0].applied - timings[0].first_seen, seconds(3));
}

struct ChangesSinceCase {
  std::string name;
  std::uint64_t peer_revision;
  std::size_t limit;
  bool is_snapshot;
  std::uint64_t to_revision;
  std::size_t changes;
};

void PrintTo(const ChangesSinceCase& test_case, std::ostream* out) {
  *out << test_case.name;
}

class ChangesSinceTest : public CatalogueReplicaTest,
                         public testing::WithParamInterface<ChangesSinceCase> {
};

TEST_P(ChangesSinceTest, ReturnsMissingChangesWithinLimits) {
  (void)FromPeer(Changes(1, 20));  // Changes 13 to 20 are kept.

  const Delta delta =
      replica_.ChangesSince(GetParam().peer_revision, GetParam().limit);

  EXPECT_EQ(delta.is_snapshot, GetParam().is_snapshot);
  EXPECT_EQ(delta.to_revision, GetParam().to_revision);
  EXPECT_EQ(delta.changes.size(), GetParam().changes);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ChangesSinceTest,
    testing::Values(
        ChangesSinceCase{"Nothing", 20, 10, false, 20, 0},
        ChangesSinceCase{"NothingForPeerAhead", 25, 10, false, 25, 0},
        ChangesSinceCase{"LastChange", 19, 10, false, 20, 1},
        ChangesSinceCase{"AllKeptChanges", 12, 100, false, 20, 8},
        ChangesSinceCase{"LimitedPage", 12, 3, false, 15, 3},
        ChangesSinceCase{"AtLeastOneChange", 12, 0, false, 13, 1},
        ChangesSinceCase{"SnapshotBeforeKeptChanges", 11, 10, true, 20, 1},
        ChangesSinceCase{"SnapshotForNewHost", 0, 10, true, 20, 1}),
    [](const auto& tested) { return tested.param.name; });

TEST(CatalogueReplicaLimitsTest, ByteLimitsBoundDeltaAndKeptChanges) {
  fakes::ManualClock clock;
  const std::size_t one = SetSeats(1, 1).document.size();
  CatalogueReplica replica(
      {.kept_change_bytes = 10 * one, .max_delta_bytes = 3 * one}, clock);
  (void)replica.Apply(Changes(1, 20), RevisionSource::kPeer);

  EXPECT_TRUE(replica.ChangesSince(5, 100).is_snapshot);
  const Delta delta = replica.ChangesSince(15, 100);
  EXPECT_FALSE(delta.is_snapshot);
  EXPECT_GE(delta.changes.size(), 1U);
  EXPECT_LE(delta.changes.size(), 3U);
}

}  // namespace
}  // namespace medlarcroft::catalogue
