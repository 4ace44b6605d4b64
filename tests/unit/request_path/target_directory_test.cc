#include "medlarcroft/request_path/target_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace medlarcroft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ServiceName kService("desk");

class RecordingObserver final : public TargetDirectoryObserver {
 public:
  void OnTargetChange(TargetChange change,
                      const TargetRecord& target) override {
    changes.emplace_back(change, target.id);
  }
  void OnRestStarted(const TargetIdentity& target,
                     Duration /*length*/,
                     std::string_view request) override {
    rests.push_back(target.name.Value() + " for " + std::string(request));
  }
  void OnRestEnded(const TargetIdentity& target) override {
    rests.push_back(target.name.Value() + " ended");
  }
  void OnLeavingStated(const TargetIdentity& target,
                       std::string_view request) override {
    rests.push_back(target.name.Value() + " leaves by " + std::string(request));
  }
  std::vector<std::pair<TargetChange, TargetName>> changes;
  std::vector<std::string> rests;
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
    for (const RegionTargets& region : directory_.Usable(kService)) {
      for (const TargetState* const target : region.targets) {
        ids.push_back(target->Record().id);
      }
    }
    return ids;
  }
  void List(std::vector<TargetRecord> targets,
            std::optional<MonotonicTime> retained_until = std::nullopt,
            MonotonicTime now = kStart) {
    directory_.ReplaceAll(targets, {}, retained_until, now);
  }
  using Ids = std::vector<TargetName>;

  RecordingObserver observer_;
  TargetDirectory directory_{{{FailureDomainName("a"), RegionName("north")},
                              {FailureDomainName("b"), RegionName("south")}},
                             observer_};
};

// A target announces its shutdown. The registry's event stream is then
// interrupted, and the host reads an outdated list that still contains the
// target as active. Requests must not be sent there again.
TEST_F(TargetDirectoryTest, OutdatedListDoesNotRestoreALeavingTarget) {
  List({MakeTarget("t1"), MakeTarget("t2")});
  TargetRecord leaving = MakeTarget("t1");
  leaving.is_leaving = true;
  directory_.Put(leaving, kStart);

  List({MakeTarget("t1"), MakeTarget("t2")});
  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});

  directory_.Remove(TargetName("t1"), std::nullopt);
  directory_.Put(MakeTarget("t1"), kStart);
  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});
}

// The registry was unavailable and the entries of live targets expired.
// Requests continue to be served by these targets; those that are not
// registered again in time are removed.
TEST_F(TargetDirectoryTest, ExpiredEntriesAreRetainedForALimitedTime) {
  List({MakeTarget("t1"), MakeTarget("t2")});
  const MonotonicTime retained_until = kStart + seconds(2);
  List({}, retained_until);
  EXPECT_EQ(UsableIds().size(), 2U);

  directory_.Put(MakeTarget("t2"), kStart + seconds(1));
  directory_.Advance(retained_until);

  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});
}

TEST_F(TargetDirectoryTest, LeavingTargetIsRemovedInsteadOfRetained) {
  TargetRecord leaving = MakeTarget("t1");
  leaving.is_leaving = true;
  List({leaving});

  List({}, kStart + seconds(2));

  EXPECT_EQ(directory_.Size(), 0U);
}

TEST_F(TargetDirectoryTest, RemovesTheTargetAtOnceWhileTheRegistryIsAvailable) {
  List({MakeTarget("t1")});
  directory_.Remove(TargetName("t1"), std::nullopt);

  EXPECT_TRUE(UsableIds().empty());
  EXPECT_EQ(observer_.changes.back().first, TargetChange::kRemoved);
}

TEST_F(TargetDirectoryTest, EvacuatedDomainGetsNoRequestsAndReturnsCold) {
  directory_.SetColdTime(kService, seconds(3));
  List({MakeTarget("t1", "a"), MakeTarget("t2", "b")});

  directory_.SetEvacuated({FailureDomainName("a")}, kStart);
  EXPECT_EQ(UsableIds(), Ids{TargetName("t2")});

  directory_.SetEvacuated({}, kStart);
  EXPECT_EQ(UsableIds().size(), 2U);
  EXPECT_TRUE(directory_.Find({TargetName("t1")})->IsCold(kStart + seconds(2)));
  EXPECT_FALSE(
      directory_.Find({TargetName("t1")})->IsCold(kStart + seconds(3)));
  EXPECT_FALSE(directory_.Find({TargetName("t2")})->IsCold(kStart));
}

TEST_F(TargetDirectoryTest,
       TargetThatAppearsLaterIsColdWhateverItsEntryStates) {
  directory_.SetColdTime(kService, seconds(3));
  List({MakeTarget("t1")});
  directory_.Put(MakeTarget("t2"), kStart);

  EXPECT_FALSE(directory_.Find({TargetName("t1")})->IsCold(kStart));
  EXPECT_TRUE(directory_.Find({TargetName("t2")})->IsCold(kStart + seconds(2)));
}

TEST_F(TargetDirectoryTest, TargetWhoseAddressIsReusedGetsNoRequests) {
  List({MakeTarget("t1")});
  directory_.Find({TargetName("t1")})->MarkReplaced();

  EXPECT_TRUE(UsableIds().empty());
}

constexpr RestRequest kThreeSeconds{.length = seconds(3), .request = "r-1"};

TargetRecord MakeProcess(TargetIncarnation incarnation) {
  TargetRecord record = MakeTarget("t1");
  record.incarnation = incarnation;
  return record;
}

/// @brief What happens to the entry of a process that rests or leaves.
struct EntryCase {
  std::string name;
  std::function<void(TargetDirectory&)> change;
  bool is_same_process = true;
};

class EntryTable : public TargetDirectoryTest,
                   public testing::WithParamInterface<EntryCase> {};

// Guards against forgetting with an entry what its process asked for, and
// against holding it against the next process.
TEST_P(EntryTable, RestOutlivesTheEntryOfTheProcess) {
  List({MakeProcess(1)});
  const TargetIdentity target = MakeProcess(1).Identity();
  directory_.Rest(target, kThreeSeconds, kStart);
  GetParam().change(directory_);
  const TargetIdentity now_known =
      MakeProcess(GetParam().is_same_process ? 1 : 2).Identity();
  EXPECT_EQ(directory_.FindUsableAddress(now_known, kStart + milliseconds(2900))
                .has_value(),
            !GetParam().is_same_process);
  EXPECT_TRUE(directory_.FindUsableAddress(now_known, kStart + seconds(3)));
}

TEST_P(EntryTable, LeavingOutlivesTheEntryOfTheProcess) {
  List({MakeProcess(1)});
  directory_.MarkLeaving(MakeProcess(1).Identity(), "r-1");
  EXPECT_TRUE(UsableIds().empty());
  GetParam().change(directory_);
  EXPECT_EQ(UsableIds().empty(), GetParam().is_same_process);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EntryTable,
    testing::Values(
        EntryCase{"written_anew",
                  [](TargetDirectory& directory) {
                    TargetRecord record = MakeProcess(1);
                    record.slots = 5;
                    directory.Put(record, kStart);
                  }},
        EntryCase{"without_incarnation",
                  [](TargetDirectory& directory) {
                    directory.Put(MakeProcess(kUnknownIncarnation), kStart);
                  }},
        EntryCase{"returns",
                  [](TargetDirectory& directory) {
                    directory.Remove(TargetName("t1"), std::nullopt);
                    directory.Put(MakeProcess(1), kStart);
                  }},
        EntryCase{"lapses_and_returns",
                  [](TargetDirectory& directory) {
                    directory.Remove(TargetName("t1"), kStart + seconds(2));
                    directory.LimitRetention(kStart + seconds(1), kStart);
                    directory.Advance(kStart + seconds(1));
                    directory.Put(MakeProcess(1), kStart + seconds(1));
                  }},
        EntryCase{"unreadable_for_a_while",
                  [](TargetDirectory& directory) {
                    directory.Suspend(TargetName("t1"));
                    directory.Put(MakeProcess(1), kStart);
                  }},
        EntryCase{"listed_again",
                  [](TargetDirectory& directory) {
                    const std::vector<TargetRecord> records = {MakeProcess(1)};
                    directory.ReplaceAll({}, {}, std::nullopt, kStart);
                    directory.ReplaceAll(records, {}, std::nullopt, kStart);
                  }},
        EntryCase{"new_process",
                  [](TargetDirectory& directory) {
                    directory.Put(MakeProcess(2), kStart);
                  },
                  false},
        EntryCase{"new_process_later",
                  [](TargetDirectory& directory) {
                    directory.Remove(TargetName("t1"), std::nullopt);
                    directory.Put(MakeProcess(2), kStart);
                  },
                  false}),
    [](const auto& info) { return info.param.name; });

// A target is asked by several requests at once, and turns all of them away.
TEST_F(TargetDirectoryTest, LongestRestCounts) {
  List({MakeTarget("t1")});
  const TargetIdentity target = MakeTarget("t1").Identity();
  directory_.Rest(target, kThreeSeconds, kStart);
  directory_.Rest(target, {.length = seconds(1), .request = "r-2"},
                  kStart + seconds(1));
  EXPECT_FALSE(
      directory_.FindUsableAddress(target, kStart + milliseconds(2999)));
  directory_.Rest(target, {.length = seconds(2), .request = "r-3"},
                  kStart + seconds(2));
  EXPECT_FALSE(
      directory_.FindUsableAddress(target, kStart + milliseconds(3999)));
  EXPECT_TRUE(directory_.FindUsableAddress(target, kStart + seconds(4)));

  directory_.Advance(kStart + seconds(4));
  EXPECT_EQ(observer_.rests,
            (std::vector<std::string>{"t1 for r-1", "t1 ended"}));
}

TEST_F(TargetDirectoryTest, LeavingOfAProcessWithoutAnEntryIsKept) {
  directory_.MarkLeaving(MakeProcess(3).Identity(), "r-1");
  directory_.MarkLeaving(MakeProcess(3).Identity(), "r-2");
  directory_.Put(MakeProcess(3), kStart);
  EXPECT_TRUE(UsableIds().empty());
  directory_.Put(MakeProcess(4), kStart);
  EXPECT_EQ(UsableIds(), Ids{TargetName("t1")});
  directory_.MarkLeaving(MakeProcess(3).Identity(), "r-3");
  EXPECT_EQ(UsableIds(), Ids{TargetName("t1")});
  EXPECT_EQ(observer_.rests, std::vector<std::string>{"t1 leaves by r-1"});
}

TEST_F(TargetDirectoryTest, RestingTargetsAreNotProbed) {
  List({MakeTarget("t1"), MakeTarget("t2")});
  directory_.Rest(MakeTarget("t1").Identity(), kThreeSeconds, kStart);
  EXPECT_EQ(directory_.ReachCandidates(kStart).size(), 1U);
  EXPECT_EQ(directory_.ReachCandidates(kStart + seconds(3)).size(), 2U);
}

// Guards against requests that leave the regions they may run in, because a
// target's region is still the one of its first entry.
TEST_F(TargetDirectoryTest, ATargetHasTheRegionOfItsLatestEntry) {
  List({MakeTarget("t1", "a")});
  directory_.Put(MakeTarget("t1", "b"), kStart);

  const auto usable = directory_.Usable(kService);
  ASSERT_EQ(usable.size(), 1U);
  EXPECT_EQ(usable.front().region, RegionName("south"));
}

}  // namespace
}  // namespace medlarcroft::request_path
