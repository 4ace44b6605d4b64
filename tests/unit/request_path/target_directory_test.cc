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

class RecordingObserver final : public TargetDirectoryObserver {
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

}  // namespace
}  // namespace medlarcroft::request_path
