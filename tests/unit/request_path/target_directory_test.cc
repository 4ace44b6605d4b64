#include "medlarcroft/request_path/target_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");

class NoteChanges final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange change,
                      const TargetRecord& target) override {
    changes.emplace_back(change, target.id);
  }
  std::vector<std::pair<TargetChange, TargetName>> changes;
};

TargetRecord MakeTarget(std::string_view id, std::string_view domain = "a") {
  return {.id = TargetName(id),
          .service = kService,
          .address = "127.0.0.1:80",
          .domain = FailureDomainName(domain),
          .slots = 3};
}

class TargetDirectoryTest : public testing::Test {
 protected:
  std::vector<TargetName> UsableIds() {
    std::vector<TargetName> ids;
    for (const RegionTargets& region : book_.Usable(kService)) {
      for (const TargetState* const target : region.targets) {
        ids.push_back(target->Record().id);
      }
    }
    return ids;
  }
  void List(std::vector<TargetRecord> targets,
            std::optional<MonotonicTime> doubted_until = std::nullopt,
            MonotonicTime now = kStart) {
    book_.ReplaceAll(targets, {}, doubted_until, now);
  }
  using Ids = std::vector<TargetName>;

  NoteChanges observer_;
  TargetDirectory book_{{{FailureDomainName("a"), RegionName("north")},
                         {FailureDomainName("b"), RegionName("south")}},
                        observer_};
};

// A target says that it leaves. The store's feed is cut, and an older list is
// read, which still shows it in service. Callers must not be sent there again.
TEST_F(TargetDirectoryTest, OlderNewsDoesNotBringBackATargetThatLeaves) {
  List({MakeTarget("t1"), MakeTarget("t2")});
  TargetRecord leaving = MakeTarget("t1");
  leaving.is_leaving = true;
  book_.Put(leaving, kStart);

  List({MakeTarget("t1"), MakeTarget("t2")});
  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});

  book_.Remove(TargetName("t1"), std::nullopt);
  book_.Put(MakeTarget("t1"), kStart);
  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});
}

// The store was away and the entries of live targets ran out. Callers go on
// being served by those that answer; what is not registered again within the
// time is gone.
TEST_F(TargetDirectoryTest, LapsedEntriesAreUsedUntilTheDoubtEnds) {
  List({MakeTarget("t1"), MakeTarget("t2")});
  const MonotonicTime doubted_until = kStart + seconds(2);
  List({}, doubted_until);
  EXPECT_EQ(UsableIds().size(), 2U);

  book_.Put(MakeTarget("t2"), kStart + seconds(1));
  book_.Advance(doubted_until);

  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});
}

TEST_F(TargetDirectoryTest, ALeavingTargetIsNeverDoubtedButGone) {
  TargetRecord leaving = MakeTarget("t1");
  leaving.is_leaving = true;
  List({leaving});

  List({}, kStart + seconds(2));

  EXPECT_EQ(book_.Size(), 0U);
}

TEST_F(TargetDirectoryTest, ARemovedEntryIsGoneAtOnceWhileTheStoreIsWell) {
  List({MakeTarget("t1")});
  book_.Remove(TargetName("t1"), std::nullopt);

  EXPECT_TRUE(UsableIds().empty());
  EXPECT_EQ(observer_.changes.back().first, TargetChange::kRemoved);
}

TEST_F(TargetDirectoryTest, AnEvacuatedDomainGetsNothingAndComesBackCold) {
  book_.SetColdTime(kService, seconds(3));
  List({MakeTarget("t1", "a"), MakeTarget("t2", "b")});

  book_.SetEvacuated({FailureDomainName("a")}, kStart);
  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});

  book_.SetEvacuated({}, kStart);
  EXPECT_EQ(UsableIds().size(), 2U);
  EXPECT_TRUE(book_.Find({TargetName("t1")})->IsCold(kStart + seconds(2)));
  EXPECT_FALSE(book_.Find({TargetName("t1")})->IsCold(kStart + seconds(3)));
  EXPECT_FALSE(book_.Find({TargetName("t2")})->IsCold(kStart));
}

TEST_F(TargetDirectoryTest, ATargetThatAppearsLaterIsColdWhateverItSays) {
  book_.SetColdTime(kService, seconds(3));
  List({MakeTarget("t1")});
  book_.Put(MakeTarget("t2"), kStart);

  EXPECT_FALSE(book_.Find({TargetName("t1")})->IsCold(kStart));
  EXPECT_TRUE(book_.Find({TargetName("t2")})->IsCold(kStart + seconds(2)));
}

TEST_F(TargetDirectoryTest, ATargetWhoseAddressAnotherHasGetsNothing) {
  List({MakeTarget("t1")});
  book_.Find({TargetName("t1")})->MarkReplaced();

  EXPECT_TRUE(UsableIds().empty());
}

}  // namespace
}  // namespace medlarcroft::request_path
