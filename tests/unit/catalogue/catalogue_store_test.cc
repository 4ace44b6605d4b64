#include "medlarcroft/catalogue/catalogue_store.h"

#include <gtest/gtest.h>

#include "fakes/catalogue_platform.h"

namespace medlarcroft::catalogue {
namespace {

using fakes::CommitFault;
using fakes::Deletion;
using fakes::DomainChange;

class CatalogueStoreTest : public testing::Test {
 protected:
  std::uint64_t Head() {
    return ParseHead(ValueOf(platform_.table.Read(kHeadKey)).value).value_or(0);
  }

  std::uint64_t VersionOf(const std::string& entry) {
    return ValueOf(store_.Read(EntryName(entry))).version;
  }

  template <typename Failure>
  static Failure FailureOf(const ChangeResult& result) {
    EXPECT_FALSE(IsOk(result));
    const auto* failure =
        IsOk(result) ? nullptr : std::get_if<Failure>(&ErrorOf(result));
    EXPECT_NE(failure, nullptr);
    return failure == nullptr ? Failure() : *failure;
  }

  fakes::CataloguePlatform platform_;
  CatalogueStore store_ = platform_.MakeStore();
};

TEST_F(CatalogueStoreTest, EachChangeIncrementsRevisionAndVersion) {
  const auto created = store_.Accept(DomainChange("c1", "a", 0));
  const auto changed = store_.Accept(DomainChange("c2", "a", 1, 5));
  const auto other = store_.Accept(DomainChange("c3", "b", 0));

  EXPECT_EQ(ValueOf(created).revision, 1U);
  EXPECT_EQ(ValueOf(changed).revision, 2U);
  EXPECT_EQ(ValueOf(changed).version, 2U);
  EXPECT_EQ(ValueOf(other).version, 1U);
  const auto history = store_.History(EntryName("a"), 10);
  ASSERT_EQ(ValueOf(history).size(), 2U);
  EXPECT_EQ(ValueOf(history)[0].change_id, "c2");
  EXPECT_EQ(ValueOf(history)[1].change_id, "c1");
}

TEST_F(CatalogueStoreTest, ChangeTakesFiveReadsAndOneWrite) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  const std::size_t reads = platform_.table.Reads();
  const std::size_t commits = platform_.table.Commits();

  (void)store_.Accept(DomainChange("c2", "a", 1));

  // Head, previous change, entry, change id, snapshots.
  EXPECT_EQ(platform_.table.Reads() - reads, 5U);
  EXPECT_EQ(platform_.table.Commits() - commits, 1U);
}

TEST_F(CatalogueStoreTest, VersionsContinueAfterDeletion) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  const auto deleted = store_.Accept(Deletion("c2", "a", 1));
  EXPECT_EQ(VersionOf("a"), 0U);
  const auto again = store_.Accept(DomainChange("c3", "a", 0));
  const auto stale = store_.Accept(DomainChange("c4", "a", 1));

  EXPECT_TRUE(IsOk(deleted));
  EXPECT_EQ(ValueOf(again).version, 3U);
  EXPECT_EQ(FailureOf<VersionConflict>(stale).current_version, 3U);
}

TEST_F(CatalogueStoreTest, ReportsFieldFaults) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  auto stolen = DomainChange("c2", "a", 1);
  stolen.owner = OwnerName("other");

  const auto failure = FailureOf<InvalidChange>(store_.Accept(stolen));

  ASSERT_EQ(failure.faults.size(), 1U);
  EXPECT_EQ(failure.faults[0].code, FaultCode::kOwnerChange);
  EXPECT_EQ(Head(), 1U);
}

// Two operators have read version 1 and both change the entry. The second one's
// transaction commits first. The first operator must get a conflict that
// contains the second one's version instead of overwriting it.
TEST_F(CatalogueStoreTest, OneOfTwoConcurrentOperatorsGetsConflict) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  CatalogueStore other_store = platform_.MakeStore();
  platform_.table.SetBeforeCommit([&other_store] {
    EXPECT_TRUE(IsOk(other_store.Accept(DomainChange("rival", "a", 1, 9))));
  });

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 4));

  const auto conflict = FailureOf<VersionConflict>(result);
  EXPECT_EQ(conflict.current_version, 2U);
  EXPECT_NE(conflict.current_document.find("\"seats\":9"), std::string::npos);
  EXPECT_EQ(Head(), 2U);
}

// A concurrent change of another entry updates the head between read and
// commit. Both changes are valid, so the losing one must be retried
// automatically and succeed.
TEST_F(CatalogueStoreTest, RetriesAfterHeadContention) {
  CatalogueStore other_store = platform_.MakeStore();
  platform_.table.SetBeforeCommit([&other_store] {
    (void)other_store.Accept(DomainChange("rival", "b", 0));
  });

  const auto result = store_.Accept(DomainChange("c1", "a", 0));

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).revision, 2U);
}

struct LostCommitCase {
  std::string name;
  std::vector<CommitFault> faults;
  bool was_already_accepted;
};

void PrintTo(const LostCommitCase& lost, std::ostream* out) {
  *out << lost.name;
}

class LostCommitTest : public CatalogueStoreTest,
                       public testing::WithParamInterface<LostCommitCase> {};

// The response to the commit is lost, with or without the commit taking effect.
// The operator must receive "accepted" for exactly one change, and must never
// get a conflict with its own change: the change-id row determines which it
// was.
TEST_P(LostCommitTest, ResultsInExactlyOneChange) {
  platform_.table.FailNextCommits(GetParam().faults);

  const auto result = store_.Accept(DomainChange("c1", "a", 0));

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).revision, 1U);
  EXPECT_EQ(ValueOf(result).was_already_accepted,
            GetParam().was_already_accepted);
  platform_.table.DeliverDelayedCommits();
  EXPECT_EQ(Head(), 1U);
  EXPECT_EQ(VersionOf("a"), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LostCommitTest,
    testing::Values(
        LostCommitCase{"Effect", {CommitFault::kResponseLost}, true},
        LostCommitCase{"NoEffect", {CommitFault::kRequestLost}, false},
        LostCommitCase{"LateEffect", {CommitFault::kDelayed}, false},
        LostCommitCase{"TwiceThenEffect",
                       {CommitFault::kRequestLost, CommitFault::kDelayed,
                        CommitFault::kResponseLost},
                       true}),
    [](const auto& tested) { return tested.param.name; });

// The commit takes effect, its response is lost, and the platform cannot be
// read afterwards. "Not made" would be wrong and "made" is not proven, so the
// operator gets the change id and repeats the request with it once the platform
// is available again.
TEST_F(CatalogueStoreTest, UnconfirmedChangeIsUnknownUntilRepeated) {
  platform_.table.FailNextCommits({CommitFault::kResponseLost});
  platform_.table.SetBeforeCommit(
      [this] { platform_.table.SetReadsFailing(true); });

  const auto first = store_.Accept(DomainChange("c1", "a", 0));
  platform_.table.SetReadsFailing(false);
  const auto second = store_.Accept(DomainChange("c1", "a", 0));

  EXPECT_EQ(FailureOf<ChangeOutcomeUnknown>(first).change_id, "c1");
  ASSERT_TRUE(IsOk(second));
  EXPECT_TRUE(ValueOf(second).was_already_accepted);
  EXPECT_EQ(Head(), 1U);
}

// The response to the commit is lost while reads come from a lagging replica,
// so that the entry looks absent and unchanged. Reporting a conflict based on
// such reads would be wrong, because the change was made; the commit's own
// conditions show this.
TEST_F(CatalogueStoreTest, LaggingReadsCauseNoFalseConflict) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  platform_.table.FailNextCommits({CommitFault::kResponseLost});
  platform_.table.SetBeforeCommit([this] { platform_.table.FreezeReads(); });

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 7));

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).revision, 2U);
  EXPECT_TRUE(ValueOf(result).was_already_accepted);
}

// The first attempt is still in transit when a concurrent writer changes the
// entry. Because that writer has advanced the head, the late commit can no
// longer take effect; only with this proof may the operator get a conflict.
TEST_F(CatalogueStoreTest, ReportsProvenConflictAfterLostCommit) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  CatalogueStore other_store = platform_.MakeStore();
  platform_.table.FailNextCommits({CommitFault::kDelayed});
  platform_.on_sleep = [&other_store] {
    EXPECT_TRUE(IsOk(other_store.Accept(DomainChange("rival", "a", 1, 9))));
  };

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 7));
  platform_.table.DeliverDelayedCommits();

  EXPECT_EQ(FailureOf<VersionConflict>(result).current_version, 2U);
  EXPECT_EQ(Head(), 2U);
  EXPECT_EQ(VersionOf("a"), 2U);
}

// As above, but the platform loses every response that would prove it. Reads
// show the concurrent writer's version, but it is not proven that the late
// commit will never take effect, so no conflict may be reported.
TEST_F(CatalogueStoreTest, UnprovenConflictIsUnknown) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  CatalogueStore other_store = platform_.MakeStore();
  platform_.table.FailNextCommits({CommitFault::kDelayed});
  platform_.on_sleep = [this, &other_store] {
    (void)other_store.Accept(DomainChange("rival", "a", 1, 9));
    platform_.table.FailNextCommits(
        std::vector<CommitFault>(20, CommitFault::kRequestLost));
  };

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 7));

  EXPECT_EQ(FailureOf<ChangeOutcomeUnknown>(result).change_id, "c2");
}

// The platform is down from the start. Nothing was sent, so it is proven that
// the change was not made, and the operator may simply retry later.
TEST_F(CatalogueStoreTest, ReportsUnavailableWhenPlatformIsDown) {
  platform_.table.SetDown(true);

  (void)FailureOf<StoreUnavailable>(store_.Accept(DomainChange("c1", "a", 0)));
  platform_.table.SetDown(false);
  EXPECT_EQ(Head(), 0U);
}

TEST_F(CatalogueStoreTest, StopsWithinTimeLimitOnSlowPlatform) {
  platform_.table.SetLatency(&platform_.clock, std::chrono::seconds(4));
  platform_.table.SetReadsFailing(true);
  const MonotonicTime start = platform_.clock.Now();

  (void)FailureOf<StoreUnavailable>(store_.Accept(DomainChange("c1", "a", 0)));

  EXPECT_LE(platform_.clock.Now() - start, std::chrono::seconds(15));
}

// The platform was restored from an older backup, so its head is below the
// revision that hosts hold. Hosts would ignore a change with such a low
// revision, and an operator who received "accepted" would wait forever, so the
// change must be rejected.
TEST_F(CatalogueStoreTest, RejectsChangeWhenPlatformIsBehindHosts) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  auto change = DomainChange("c2", "a", 1);
  change.held_revision = 7;

  const auto failure = FailureOf<PlatformBehind>(store_.Accept(change));

  EXPECT_EQ(failure.platform_revision, 1U);
  EXPECT_EQ(failure.held_revision, 7U);
  EXPECT_EQ(Head(), 1U);
}

// The host got the latest revision from a peer, and one read of the head comes
// from a lagging replica. No revision is lost: the next read shows it.
TEST_F(CatalogueStoreTest, RereadsLaggingHead) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  platform_.table.FreezeReads();
  CatalogueStore other_store = platform_.MakeStore();
  platform_.on_sleep = [this, &other_store] {
    platform_.table.UnfreezeReads();
    (void)other_store.Accept(DomainChange("rival", "b", 0));
  };
  auto change = DomainChange("c2", "a", 1);
  change.held_revision = 2;

  EXPECT_EQ(ValueOf(store_.Accept(change)).revision, 3U);
}

TEST_F(CatalogueStoreTest, AcceptsRepeatedIdAndRejectsReusedId) {
  (void)store_.Accept(DomainChange("c1", "a", 0));

  const auto repeated = store_.Accept(DomainChange("c1", "a", 0));
  const auto reused = store_.Accept(DomainChange("c1", "b", 0));

  EXPECT_EQ(ValueOf(repeated).revision, 1U);
  EXPECT_EQ(FailureOf<ChangeIdReused>(reused).revision, 1U);
  EXPECT_EQ(Head(), 1U);
}

class CatalogueSnapshotTest : public testing::Test {
 protected:
  static constexpr std::uint64_t kChanges = 200;

  CatalogueSnapshotTest() {
    for (std::uint64_t i = 0; i < kChanges; ++i) {
      EXPECT_TRUE(IsOk(store_.Accept(
          DomainChange("c" + std::to_string(i), "a", i, 1 + i % 9))));
    }
  }

  CatalogueState ColdStart() {
    CatalogueState state;
    CatalogueReader reader(platform_.table, platform_.objects);
    const auto head = reader.ReadHead();
    EXPECT_TRUE(IsOk(reader.CatchUp(state, ValueOf(head).revision)));
    return state;
  }

  fakes::CataloguePlatform platform_;
  CatalogueStore store_ = platform_.MakeStore();
};

TEST_F(CatalogueSnapshotTest, LimitReadsOfColdStart) {
  const std::size_t reads = platform_.table.Reads();

  EXPECT_EQ(ColdStart().Revision(), kChanges);

  EXPECT_EQ(platform_.objects.Objects().size(), 3U);
  // Head, snapshots row and one page of changes.
  EXPECT_EQ(platform_.table.Reads() - reads, 3U);
}

// The latest snapshot is truncated, the one before it has a flipped bit, and
// the third is missing. A new host must neither start from damaged entries nor
// fail to start: it reads all changes and reaches the same state.
TEST_F(CatalogueSnapshotTest, DamagedSnapshotsAreSkipped) {
  const std::string good = ColdStart().MakeSnapshot().changes.at(0).document;
  auto& objects = platform_.objects.Objects();
  auto newest = objects.find(std::prev(objects.end())->first);
  newest->second.resize(newest->second.size() / 2);
  EXPECT_EQ(ColdStart().Revision(), kChanges);

  for (auto& [name, bytes] : objects) {
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
  }
  objects.erase(objects.begin());

  const CatalogueState state = ColdStart();
  EXPECT_EQ(state.Revision(), kChanges);
  EXPECT_EQ(state.MakeSnapshot().changes.at(0).document, good);
}

// The object store is down while the table is available: a cold start continues
// without snapshots instead of waiting.
TEST_F(CatalogueSnapshotTest, ColdStartWorksWithoutObjectStore) {
  platform_.objects.SetDown(true);

  EXPECT_EQ(ColdStart().Revision(), kChanges);
}

}  // namespace
}  // namespace medlarcroft::catalogue
