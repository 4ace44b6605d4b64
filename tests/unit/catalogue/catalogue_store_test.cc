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

TEST_F(CatalogueStoreTest, EachChangeTakesOneRevisionAndOneVersion) {
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

TEST_F(CatalogueStoreTest, AChangeCostsFiveReadsAndOneWrite) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  const std::size_t reads = platform_.table.Reads();
  const std::size_t commits = platform_.table.Commits();

  (void)store_.Accept(DomainChange("c2", "a", 1));

  // Head, the change before, entry, change id, snapshots.
  EXPECT_EQ(platform_.table.Reads() - reads, 5U);
  EXPECT_EQ(platform_.table.Commits() - commits, 1U);
}

TEST_F(CatalogueStoreTest, DeletedNamesGoOnCountingVersions) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  const auto deleted = store_.Accept(Deletion("c2", "a", 1));
  EXPECT_EQ(VersionOf("a"), 0U);
  const auto again = store_.Accept(DomainChange("c3", "a", 0));
  const auto stale = store_.Accept(DomainChange("c4", "a", 1));

  EXPECT_TRUE(IsOk(deleted));
  EXPECT_EQ(ValueOf(again).version, 3U);
  EXPECT_EQ(FailureOf<VersionConflict>(stale).current_version, 3U);
}

TEST_F(CatalogueStoreTest, FaultsNameTheField) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  auto stolen = DomainChange("c2", "a", 1);
  stolen.owner = OwnerName("other");

  const auto failure = FailureOf<InvalidChange>(store_.Accept(stolen));

  ASSERT_EQ(failure.faults.size(), 1U);
  EXPECT_EQ(failure.faults[0].code, FaultCode::kOwnerChange);
  EXPECT_EQ(Head(), 1U);
}

// Two operators have seen version 1 and both change the entry. The second one's
// transaction is at the table first. The first operator must get a conflict
// that shows the second's version, not overwrite it unseen.
TEST_F(CatalogueStoreTest, OfTwoOperatorsWhoRaceOneGetsAConflict) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  CatalogueStore rival = platform_.MakeStore();
  platform_.table.SetBeforeCommit([&rival] {
    EXPECT_TRUE(IsOk(rival.Accept(DomainChange("rival", "a", 1, 9))));
  });

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 4));

  const auto conflict = FailureOf<VersionConflict>(result);
  EXPECT_EQ(conflict.current_version, 2U);
  EXPECT_NE(conflict.current_document.find("\"seats\":9"), std::string::npos);
  EXPECT_EQ(Head(), 2U);
}

// A change of another entry takes the head between read and commit. Both
// changes are good, so the loser must try again by itself and succeed.
TEST_F(CatalogueStoreTest, ContentionForTheHeadIsRetried) {
  CatalogueStore rival = platform_.MakeStore();
  platform_.table.SetBeforeCommit(
      [&rival] { (void)rival.Accept(DomainChange("rival", "b", 0)); });

  const auto result = store_.Accept(DomainChange("c1", "a", 0));

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).revision, 2U);
}

struct LostCommit {
  std::string name;
  std::vector<CommitFault> faults;
  bool was_already_accepted;
};

void PrintTo(const LostCommit& lost, std::ostream* out) {
  *out << lost.name;
}

class LostCommits : public CatalogueStoreTest,
                    public testing::WithParamInterface<LostCommit> {};

// The answer to the commit is lost, with or without its effect. The operator
// must be told "accepted" for one change, never two, and never a conflict with
// the operator's own change: the change-id row settles which it was.
TEST_P(LostCommits, EndInExactlyOneChange) {
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
    LostCommits,
    testing::Values(LostCommit{"Effect", {CommitFault::kResponseLost}, true},
                    LostCommit{"NoEffect", {CommitFault::kRequestLost}, false},
                    LostCommit{"LateEffect", {CommitFault::kDelayed}, false},
                    LostCommit{
                        "TwiceThenEffect",
                        {CommitFault::kRequestLost, CommitFault::kDelayed,
                         CommitFault::kResponseLost},
                        true}),
    [](const auto& tested) { return tested.param.name; });

// The commit takes effect, its answer is lost, and the platform can't be read
// afterwards. "Not made" would be false and "made" unproved, so the operator
// gets the change id and asks again with it once the platform is back.
TEST_F(CatalogueStoreTest, UnsettledChangeIsUnknownAndAskedForAgain) {
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

// The commit's answer is lost while reads come from a copy that lags behind it:
// the entry looks absent and unchanged. A conflict told from such reads would
// be false, since the change was made; the commit's own conditions tell.
TEST_F(CatalogueStoreTest, LaggingReadsDoNotMakeAFalseConflict) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  platform_.table.FailNextCommits({CommitFault::kResponseLost});
  platform_.table.SetBeforeCommit([this] { platform_.table.FreezeReads(); });

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 7));

  ASSERT_TRUE(IsOk(result));
  EXPECT_EQ(ValueOf(result).revision, 2U);
  EXPECT_TRUE(ValueOf(result).was_already_accepted);
}

// The first attempt is still on its way when a rival changes the entry. As the
// rival has moved the head on, the late commit can't take effect any more, and
// only because that is proved may the operator be told of a conflict.
TEST_F(CatalogueStoreTest, ConflictAfterALostCommitIsProved) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  CatalogueStore rival = platform_.MakeStore();
  platform_.table.FailNextCommits({CommitFault::kDelayed});
  platform_.on_sleep = [&rival] {
    EXPECT_TRUE(IsOk(rival.Accept(DomainChange("rival", "a", 1, 9))));
  };

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 7));
  platform_.table.DeliverDelayedCommits();

  EXPECT_EQ(FailureOf<VersionConflict>(result).current_version, 2U);
  EXPECT_EQ(Head(), 2U);
  EXPECT_EQ(VersionOf("a"), 2U);
}

// As before, but the platform loses every answer that would prove it. Reads
// show the rival's version; still nobody has proved that the late commit won't
// come, so "conflict" must not be said.
TEST_F(CatalogueStoreTest, ConflictThatIsNotProvedIsUnknown) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  CatalogueStore rival = platform_.MakeStore();
  platform_.table.FailNextCommits({CommitFault::kDelayed});
  platform_.on_sleep = [this, &rival] {
    (void)rival.Accept(DomainChange("rival", "a", 1, 9));
    platform_.table.FailNextCommits(
        std::vector<CommitFault>(20, CommitFault::kRequestLost));
  };

  const auto result = store_.Accept(DomainChange("c2", "a", 1, 7));

  EXPECT_EQ(FailureOf<ChangeOutcomeUnknown>(result).change_id, "c2");
}

// The platform is down from the start: nothing was sent, so "not made" is
// proved and the operator may simply try again later.
TEST_F(CatalogueStoreTest, DownPlatformIsUnavailableNotUnknown) {
  platform_.table.SetDown(true);

  (void)FailureOf<StoreUnavailable>(store_.Accept(DomainChange("c1", "a", 0)));
  platform_.table.SetDown(false);
  EXPECT_EQ(Head(), 0U);
}

TEST_F(CatalogueStoreTest, SlowPlatformEndsWithinTheTimeLimit) {
  platform_.table.SetLatency(&platform_.clock, std::chrono::seconds(4));
  platform_.table.SetReadsFailing(true);
  const MonotonicTime start = platform_.clock.Now();

  (void)FailureOf<StoreUnavailable>(store_.Accept(DomainChange("c1", "a", 0)));

  EXPECT_LE(platform_.clock.Now() - start, std::chrono::seconds(15));
}

// The platform came back from an older backup: its head is below what hosts
// hold. They would ignore a change with such a number, so that an operator told
// "accepted" would wait for ever; it has to be refused.
TEST_F(CatalogueStoreTest, APlatformBehindItsHostsAcceptsNothing) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  auto change = DomainChange("c2", "a", 1);
  change.held_revision = 7;

  const auto failure = FailureOf<PlatformBehind>(store_.Accept(change));

  EXPECT_EQ(failure.platform_revision, 1U);
  EXPECT_EQ(failure.held_revision, 7U);
  EXPECT_EQ(Head(), 1U);
}

// The host has the newest revision from a peer, and one read of the head comes
// from a copy that lags. That is no lost revision: the next read shows it.
TEST_F(CatalogueStoreTest, ALaggingHeadIsReadAgain) {
  (void)store_.Accept(DomainChange("c1", "a", 0));
  platform_.table.FreezeReads();
  CatalogueStore rival = platform_.MakeStore();
  platform_.on_sleep = [this, &rival] {
    platform_.table.UnfreezeReads();
    (void)rival.Accept(DomainChange("rival", "b", 0));
  };
  auto change = DomainChange("c2", "a", 1);
  change.held_revision = 2;

  EXPECT_EQ(ValueOf(store_.Accept(change)).revision, 3U);
}

TEST_F(CatalogueStoreTest, RepeatedIdIsAnsweredAndAReusedOneRefused) {
  (void)store_.Accept(DomainChange("c1", "a", 0));

  const auto repeated = store_.Accept(DomainChange("c1", "a", 0));
  const auto reused = store_.Accept(DomainChange("c1", "b", 0));

  EXPECT_EQ(ValueOf(repeated).revision, 1U);
  EXPECT_EQ(FailureOf<ChangeIdReused>(reused).revision, 1U);
  EXPECT_EQ(Head(), 1U);
}

class Snapshots : public testing::Test {
 protected:
  static constexpr std::uint64_t kChanges = 200;

  Snapshots() {
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

TEST_F(Snapshots, BoundTheReadsOfAColdStart) {
  const std::size_t reads = platform_.table.Reads();

  EXPECT_EQ(ColdStart().Revision(), kChanges);

  EXPECT_EQ(platform_.objects.Objects().size(), 3U);
  // Head, snapshots row and one page of changes.
  EXPECT_EQ(platform_.table.Reads() - reads, 3U);
}

// The newest snapshot is cut short, the one before it has a flipped bit, and
// the third is gone. A fresh host must not start from damaged entries, nor fail
// to start: it reads every change instead and arrives at the same state.
TEST_F(Snapshots, DamagedOnesArePassedOver) {
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

// The object store is down while the table answers: a cold start does without
// snapshots rather than wait.
TEST_F(Snapshots, AreNotNeededToStart) {
  platform_.objects.SetDown(true);

  EXPECT_EQ(ColdStart().Revision(), kChanges);
}

}  // namespace
}  // namespace medlarcroft::catalogue
