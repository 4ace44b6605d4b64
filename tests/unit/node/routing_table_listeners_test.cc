#include "routing_table_listeners.h"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "adapters/event/event_loop.h"
#include "fakes/manual_clock.h"

namespace medlarcroft::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kEntry =
    R"({"address":"10.0.0.9:80","info":{"service":"desk","zone":"z","slots":3},)"
    R"("status":{"state":"in_service","sequence":4,"cold_remaining":"0ms"}})";

/// @return the usual entry with one part of its text replaced.
std::string EntryWith(std::string_view part, std::string_view replacement) {
  std::string entry(kEntry);
  return entry.replace(entry.find(part), part.size(), replacement);
}

// Starts of a target's process, in Unix milliseconds.
constexpr std::uint64_t kFirstStart = 1'760'000'000'000;
constexpr std::uint64_t kSecondStart = 1'760'000'004'000;

/// @param started 0: the target does not tell.
replication::Row Registered(const std::string& target,
                            std::uint64_t started = 0) {
  replication::Row row{
      .key = target, .value = std::string(kEntry), .version = 5};
  if (started != 0) {
    row.value.insert(1, "\"born\":" + std::to_string(started) + ",");
  }
  return row;
}

replication::Row Leaving(const std::string& target, std::uint64_t started = 0) {
  constexpr std::string_view kServing = "in_service";
  replication::Row row = Registered(target, started);
  row.value.replace(row.value.find(kServing), kServing.size(), "draining");
  return row;
}

replication::Row Gone(const std::string& target) {
  return {.key = target, .version = 6, .is_removed = true};
}

class SilentObserver final : public request_path::TargetDirectoryObserver {
  void OnTargetChange(request_path::TargetChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
};

class TargetNewsTest : public testing::Test {
 protected:
  [[nodiscard]] std::size_t Usable() {
    book_.Advance(clock_.Now());
    std::size_t usable = 0;
    for (const auto& region : book_.Usable(ServiceName("desk"))) {
      usable += region.targets.size();
    }
    return usable;
  }

  request_path::TargetState* Find(const std::string& target,
                                  std::uint64_t started = 0) {
    return book_.Find({TargetName(target), started});
  }

  fakes::ManualClock clock_;
  adapters::EventLoop loop_{clock_};
  SilentObserver observer_;
  request_path::TargetDirectory book_{
      {{FailureDomainName("z"), RegionName("r")}},
      observer_};
  TargetTableListener news_{loop_, book_};
};

// The store is away so long that all entries run out. Callers still get their
// answers while it comes back, as the targets live; one that does not register
// again within two seconds or so is gone and gets nothing more.
TEST_F(TargetNewsTest, LapsedTargetsServeUntilTheyHadTimeToRegister) {
  news_.OnTable(std::vector{Registered("a"), Registered("b")});
  news_.OnCallFailed({.failure = replication::RowFailure::kUnreachable});
  clock_.Advance(seconds(9));
  news_.OnStoreRecovered(seconds(9));
  news_.OnRows(std::vector{Gone("a"), Gone("b")});
  EXPECT_EQ(Usable(), 2U);

  clock_.Advance(milliseconds(1500));
  news_.OnRows(std::vector{Registered("a")});
  EXPECT_EQ(Usable(), 2U);

  clock_.Advance(milliseconds(800));
  EXPECT_EQ(Usable(), 1U);
}

// The same, and the history is dropped meanwhile: the whole table is read, in
// which nobody is registered yet.
TEST_F(TargetNewsTest, AnEmptyTableAfterAnOutageLeavesTimeToRegister) {
  news_.OnTable(std::vector{Registered("a")});
  news_.OnCallFailed({.failure = replication::RowFailure::kHistoryUnavailable});
  news_.OnStoreRecovered(seconds(5));
  news_.OnTable(std::vector<replication::Row>{});
  EXPECT_EQ(Usable(), 1U);

  clock_.Advance(seconds(3));
  EXPECT_EQ(Usable(), 0U);
}

// While the store answers, an entry that is gone is no lapse: the target gets
// nothing from this moment.
TEST_F(TargetNewsTest, ATargetThatIsGoneOnACalmDayIsGoneAtOnce) {
  news_.OnTable(std::vector{Registered("a"), Registered("b")});
  news_.OnRows(std::vector{Gone("a")});
  EXPECT_EQ(Usable(), 1U);
}

// Another writer spoils the entry of a target that serves. What the entry says
// is not known: the target may be leaving, or gone. Callers are sent to the
// others, and to this one again as soon as its next good entry is there.
TEST_F(TargetNewsTest, ATargetWithABadEntryGetsNothingUntilAGoodOne) {
  news_.OnTable(std::vector{Registered("a"), Registered("b")});
  replication::Row broken = Registered("a");
  broken.value = "{";
  news_.OnRows(std::vector{broken});
  EXPECT_EQ(Usable(), 1U);

  news_.OnRows(std::vector{Registered("a")});
  EXPECT_EQ(Usable(), 2U);
}

// The same when the whole table is read: the bad entry hides no other one, and
// takes away nothing of what is believed of its target.
TEST_F(TargetNewsTest, ABadEntryInATableHidesNoOther) {
  news_.OnTable(std::vector{Registered("a"), Registered("b")});
  Find("a")->OnSent(request_path::ObjectKey("object"), clock_.Now());
  replication::Row broken = Registered("a");
  broken.value = "";
  news_.OnTable(std::vector{broken, Registered("b"), Registered("c")});
  EXPECT_EQ(Usable(), 2U);

  news_.OnTable(std::vector{Registered("a"), Registered("b")});
  EXPECT_EQ(Usable(), 2U);
  EXPECT_TRUE(Find("a")->HasHandled(request_path::ObjectKey("object")));
}

struct BadEntry {
  std::string name;
  std::string value;
};

class BadEntryTable : public TargetNewsTest,
                      public testing::WithParamInterface<BadEntry> {};

// Whatever another writer puts into the registry: it names no target, and
// whoever is registered properly serves on.
TEST_P(BadEntryTable, NamesNoTargetAndTheOthersHold) {
  replication::Row bad = Registered("x");
  bad.value = GetParam().value;
  news_.OnTable(std::vector{Registered("a"), bad});
  EXPECT_EQ(Usable(), 1U);

  news_.OnRows(std::vector{bad, Registered("b")});
  EXPECT_EQ(Usable(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    BadEntryTable,
    testing::Values(
        BadEntry{"Empty", ""},
        BadEntry{"NoBytesOfText", std::string("\xff\x00\xfe", 3)},
        BadEntry{"CutShort", R"({"address":"10.0.0.9:80","info":{"service)"},
        BadEntry{"AList", "[]"},
        BadEntry{"ANumber", "17"},
        BadEntry{"Nested", std::string(2000, '[')},
        BadEntry{"NoAddress", EntryWith("\"address\":\"10.0.0.9:80\",", "")},
        BadEntry{"AddressOfAnotherKind", EntryWith("10.0.0.9:80", "here")},
        BadEntry{"AddressIsANumber", EntryWith("\"10.0.0.9:80\"", "80")},
        BadEntry{"NoService", EntryWith("\"service\":\"desk\",", "")},
        BadEntry{"ServiceIsAList", EntryWith("\"desk\"", "[\"desk\"]")},
        BadEntry{"ServiceNotKnown", EntryWith("\"desk\"", "\"other\"")},
        BadEntry{"DomainNotKnown", EntryWith("\"z\"", "\"nowhere\"")},
        BadEntry{"SlotsAreText", EntryWith(":3}", ":\"3\"}")},
        BadEntry{"SlotsAreAPart", EntryWith(":3}", ":2.5}")},
        BadEntry{"NoState", EntryWith("\"state\":\"in_service\",", "")},
        BadEntry{"StateNotKnown", EntryWith("in_service", "retired")},
        BadEntry{"StateIsAFlag", EntryWith("\"in_service\"", "true")},
        BadEntry{"ColdTimeIsANumber", EntryWith("\"0ms\"", "0")},
        BadEntry{"StartIsText",
                 EntryWith("{\"address", "{\"born\":\"1\",\"address")},
        BadEntry{"StartIsAPart",
                 EntryWith("{\"address", "{\"born\":1.5,\"address")},
        BadEntry{"StartIsNegative",
                 EntryWith("{\"address", "{\"born\":-1,\"address")}),
    [](const auto& tested) { return tested.param.name; });

// A target says that it leaves and is gone. It starts again under its id, as
// another process: callers are sent to it within the time of the news, and
// nothing of the earlier process is believed, however late news of that comes.
TEST_F(TargetNewsTest, ADrainedTargetThatStartsAgainIsUsed) {
  book_.SetColdTime(ServiceName("desk"), seconds(3));
  news_.OnTable(std::vector{Registered("a", kFirstStart), Registered("b")});
  news_.OnRows(std::vector{Leaving("a", kFirstStart)});
  news_.OnRows(std::vector{Gone("a")});
  EXPECT_EQ(Usable(), 1U);

  news_.OnRows(std::vector{Registered("a", kSecondStart)});
  EXPECT_EQ(Usable(), 2U);
  EXPECT_TRUE(Find("a", kSecondStart)->IsCold(clock_.Now()));

  news_.OnRows(std::vector{Leaving("a", kFirstStart)});
  EXPECT_EQ(Usable(), 2U);
}

// It starts again so fast that its removal is never heard. What was believed
// of the earlier process (objects, failures, another owner of its address) does
// not hold for the new one, and it is cold.
TEST_F(TargetNewsTest, AProcessThatFollowsUnheardStartsWithNoBelief) {
  book_.SetColdTime(ServiceName("desk"), seconds(3));
  news_.OnTable(std::vector{Registered("a", kFirstStart)});
  Find("a", kFirstStart)
      ->OnSent(request_path::ObjectKey("object"), clock_.Now());
  Find("a", kFirstStart)->MarkReplaced();
  EXPECT_EQ(Usable(), 0U);

  news_.OnRows(std::vector{Registered("a", kSecondStart)});

  ASSERT_EQ(Usable(), 1U);
  EXPECT_EQ(Find("a", kFirstStart), nullptr);
  const request_path::TargetState* const started = Find("a", kSecondStart);
  EXPECT_FALSE(started->HasHandled(request_path::ObjectKey("object")));
  EXPECT_EQ(started->OwnOutstanding(), 0U);
  EXPECT_TRUE(started->IsCold(clock_.Now() + seconds(2)));
}

// Twice within one heartbeat: only the last process counts, and an entry of the
// one between, heard later, changes nothing.
TEST_F(TargetNewsTest, OfTwoStartsInAHeartbeatTheLastCounts) {
  news_.OnTable(std::vector{Registered("a", kFirstStart)});
  news_.OnRows(std::vector{Registered("a", kSecondStart + 5)});
  news_.OnRows(std::vector{Leaving("a", kSecondStart)});

  EXPECT_EQ(Usable(), 1U);
  EXPECT_NE(Find("a", kSecondStart + 5), nullptr);
}

// It crashed while the store was away, and its entry lapsed. When the store is
// back, the new process has registered: it is used, without the old belief.
TEST_F(TargetNewsTest, AStartWhileTheStoreIsAwayIsANewProcess) {
  news_.OnTable(std::vector{Registered("a", kFirstStart)});
  Find("a", kFirstStart)
      ->OnSent(request_path::ObjectKey("object"), clock_.Now());
  news_.OnCallFailed({.failure = replication::RowFailure::kUnreachable});
  clock_.Advance(seconds(9));
  news_.OnStoreRecovered(seconds(9));
  news_.OnTable(std::vector<replication::Row>{});
  EXPECT_EQ(Usable(), 1U);

  news_.OnRows(std::vector{Registered("a", kSecondStart)});
  clock_.Advance(seconds(3));
  EXPECT_EQ(Usable(), 1U);
  EXPECT_FALSE(
      Find("a", kSecondStart)->HasHandled(request_path::ObjectKey("object")));
}

// An entry that does not tell its process, or tells the known one, is of the
// known one: it neither drops belief nor brings back who leaves.
TEST_F(TargetNewsTest, AnEqualOrAbsentStartIsTheKnownProcess) {
  news_.OnTable(std::vector{Registered("a", kFirstStart)});
  Find("a", kFirstStart)
      ->OnSent(request_path::ObjectKey("object"), clock_.Now());

  news_.OnRows(std::vector{Registered("a", kFirstStart), Registered("a")});
  EXPECT_TRUE(
      Find("a", kFirstStart)->HasHandled(request_path::ObjectKey("object")));

  news_.OnRows(std::vector{Leaving("a")});
  EXPECT_EQ(Usable(), 0U);
  news_.OnRows(std::vector{Registered("a", kFirstStart), Registered("a")});
  EXPECT_EQ(Usable(), 0U);
  news_.OnRows(std::vector{Gone("a"), Registered("a")});
  EXPECT_EQ(Usable(), 0U);
}

// A target that vanished without a word is another process when it is back
// under a later start, and an earlier one does not come back at all.
TEST_F(TargetNewsTest, AnEarlierProcessDoesNotComeBackAfterALaterOne) {
  news_.OnTable(std::vector{Registered("a", kSecondStart)});
  news_.OnRows(std::vector{Gone("a")});
  news_.OnRows(std::vector{Registered("a", kFirstStart)});
  EXPECT_EQ(Usable(), 0U);

  news_.OnRows(std::vector{Registered("a", kSecondStart)});
  EXPECT_EQ(Usable(), 1U);
}

}  // namespace
}  // namespace medlarcroft::node
