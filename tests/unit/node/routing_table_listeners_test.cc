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

/// @return `kEntry` with one part of its text replaced.
std::string EntryWith(std::string_view part, std::string_view replacement) {
  std::string entry(kEntry);
  return entry.replace(entry.find(part), part.size(), replacement);
}

// Starts of a target's process, in Unix milliseconds.
constexpr std::uint64_t kFirstStart = 1'760'000'000'000;
constexpr std::uint64_t kSecondStart = 1'760'000'004'000;

/// @param started 0: the entry does not contain it.
replication::Row Registered(const std::string& target,
                            std::uint64_t started = 0) {
  replication::Row row{
      .key = target, .value = std::string(kEntry), .version = 5};
  if (started != 0) {
    row.value.insert(1, "\"born\":" + std::to_string(started) + ",");
  }
  return row;
}

replication::Row Draining(const std::string& target,
                          std::uint64_t started = 0) {
  constexpr std::string_view kServing = "in_service";
  replication::Row row = Registered(target, started);
  row.value.replace(row.value.find(kServing), kServing.size(), "draining");
  return row;
}

replication::Row Removed(const std::string& target) {
  return {.key = target, .version = 6, .is_removed = true};
}

class IgnoringObserver final : public request_path::TargetDirectoryObserver {
  void OnTargetChange(request_path::TargetChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
};

class TargetTableListenerTest : public testing::Test {
 protected:
  [[nodiscard]] std::size_t CountUsable() {
    target_directory_.Advance(clock_.Now());
    std::size_t usable = 0;
    for (const auto& region : target_directory_.Usable(ServiceName("desk"))) {
      usable += region.targets.size();
    }
    return usable;
  }

  request_path::TargetState* Find(const std::string& target,
                                  std::uint64_t started = 0) {
    return target_directory_.Find({TargetName(target), started});
  }

  fakes::ManualClock clock_;
  adapters::EventLoop loop_{clock_};
  IgnoringObserver observer_;
  request_path::TargetDirectory target_directory_{
      {{FailureDomainName("z"), RegionName("r")}},
      observer_};
  telemetry::MetricsRegistry metrics_;
  TargetTableListener listener_{loop_, target_directory_, metrics_};
};

// During a long outage of the store all entries expire. When it returns, the
// targets are still alive and must stay usable; a target that does not register
// again within about two seconds is dropped.
TEST_F(TargetTableListenerTest,
       ExpiredTargetsStayUsableUntilTheyHadTimeToReregister) {
  listener_.OnTable(std::vector{Registered("a"), Registered("b")});
  listener_.OnCallFailed({.failure = replication::RowFailure::kUnreachable});
  clock_.Advance(seconds(9));
  listener_.OnStoreRecovered(seconds(9));
  listener_.OnExpiryKnown(clock_.Now() + milliseconds(2200));
  listener_.OnRows(std::vector{Removed("a"), Removed("b")});
  EXPECT_EQ(CountUsable(), 2U);

  clock_.Advance(milliseconds(1500));
  listener_.OnRows(std::vector{Registered("a")});
  EXPECT_EQ(CountUsable(), 2U);

  clock_.Advance(milliseconds(800));
  EXPECT_EQ(CountUsable(), 1U);
}

// As above, but the store dropped its history: the whole table is read, in
// which no target is registered yet.
TEST_F(TargetTableListenerTest,
       AnEmptyTableAfterAnOutageLeavesTimeToReregister) {
  listener_.OnTable(std::vector{Registered("a")});
  listener_.OnCallFailed(
      {.failure = replication::RowFailure::kHistoryUnavailable});
  listener_.OnStoreRecovered(seconds(5));
  listener_.OnExpiryKnown(clock_.Now() + milliseconds(2200));
  listener_.OnTable(std::vector<replication::Row>{});
  EXPECT_EQ(CountUsable(), 1U);

  clock_.Advance(seconds(3));
  EXPECT_EQ(CountUsable(), 0U);
}

// Guards against requests to a removed target that a host keeps as expired
// until other hosts prove that the store was never away.
TEST_F(TargetTableListenerTest,
       ARetainedTargetIsDroppedOnceItsRemovalIsProved) {
  listener_.OnTable(std::vector{Registered("a"), Registered("b")});
  listener_.OnExpiryKnown(clock_.Now() + milliseconds(2200));
  listener_.OnRows(std::vector{Removed("a")});
  EXPECT_EQ(CountUsable(), 2U);

  listener_.OnExpiryKnown(std::nullopt);
  EXPECT_EQ(CountUsable(), 1U);
}

// While the store answers, a removed entry did not merely expire: the target
// gets no further requests.
TEST_F(TargetTableListenerTest, ARemovedTargetIsDroppedAtOnceWithoutAnOutage) {
  listener_.OnTable(std::vector{Registered("a"), Registered("b")});
  listener_.OnRows(std::vector{Removed("a")});
  EXPECT_EQ(CountUsable(), 1U);
}

// Another writer corrupts the entry of a serving target, which may be draining
// or no longer running. Requests go to the other targets, and to this one again
// as soon as its entry is readable.
TEST_F(TargetTableListenerTest,
       ATargetWithAnUnreadableEntryIsUnusableUntilAReadableOne) {
  listener_.OnTable(std::vector{Registered("a"), Registered("b")});
  replication::Row unreadable = Registered("a");
  unreadable.value = "{";
  listener_.OnRows(std::vector{unreadable});
  EXPECT_EQ(CountUsable(), 1U);

  listener_.OnRows(std::vector{Registered("a")});
  EXPECT_EQ(CountUsable(), 2U);
}

// As above, but the whole table is read: the unreadable entry neither hides
// other entries nor resets the state of its target.
TEST_F(TargetTableListenerTest, AnUnreadableEntryInATableDoesNotAffectOthers) {
  listener_.OnTable(std::vector{Registered("a"), Registered("b")});
  Find("a")->OnSent(request_path::ObjectKey("object"), clock_.Now());
  replication::Row unreadable = Registered("a");
  unreadable.value = "";
  listener_.OnTable(std::vector{unreadable, Registered("b"), Registered("c")});
  EXPECT_EQ(CountUsable(), 2U);

  listener_.OnTable(std::vector{Registered("a"), Registered("b")});
  EXPECT_EQ(CountUsable(), 2U);
  EXPECT_TRUE(Find("a")->HasHandled(request_path::ObjectKey("object")));
}

struct UnreadableEntry {
  std::string name;
  std::string value;
};

class UnreadableEntryTest
    : public TargetTableListenerTest,
      public testing::WithParamInterface<UnreadableEntry> {};

// An unreadable entry in the registry adds no target, and all targets with a
// readable entry stay usable.
TEST_P(UnreadableEntryTest, AddsNoTargetAndKeepsTheOthers) {
  replication::Row bad = Registered("x");
  bad.value = GetParam().value;
  listener_.OnTable(std::vector{Registered("a"), bad});
  EXPECT_EQ(CountUsable(), 1U);

  listener_.OnRows(std::vector{bad, Registered("b")});
  EXPECT_EQ(CountUsable(), 2U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    UnreadableEntryTest,
    testing::Values(
        UnreadableEntry{"Empty", ""},
        UnreadableEntry{"InvalidUtf8", std::string("\xff\x00\xfe", 3)},
        UnreadableEntry{"Truncated",
                        R"({"address":"10.0.0.9:80","info":{"service)"},
        UnreadableEntry{"AList", "[]"},
        UnreadableEntry{"ANumber", "17"},
        UnreadableEntry{"Nested", std::string(2000, '[')},
        UnreadableEntry{"NoAddress",
                        EntryWith("\"address\":\"10.0.0.9:80\",", "")},
        UnreadableEntry{"AddressInvalid", EntryWith("10.0.0.9:80", "here")},
        UnreadableEntry{"AddressIsANumber", EntryWith("\"10.0.0.9:80\"", "80")},
        UnreadableEntry{"NoService", EntryWith("\"service\":\"desk\",", "")},
        UnreadableEntry{"ServiceIsAList", EntryWith("\"desk\"", "[\"desk\"]")},
        UnreadableEntry{"ServiceUnknown", EntryWith("\"desk\"", "\"other\"")},
        UnreadableEntry{"DomainUnknown", EntryWith("\"z\"", "\"nowhere\"")},
        UnreadableEntry{"SlotsAreAString", EntryWith(":3}", ":\"3\"}")},
        UnreadableEntry{"SlotsAreFractional", EntryWith(":3}", ":2.5}")},
        UnreadableEntry{"NoState", EntryWith("\"state\":\"in_service\",", "")},
        UnreadableEntry{"StateUnknown", EntryWith("in_service", "retired")},
        UnreadableEntry{"StateIsAFlag", EntryWith("\"in_service\"", "true")},
        UnreadableEntry{"ColdTimeIsANumber", EntryWith("\"0ms\"", "0")},
        UnreadableEntry{"StartIsAString",
                        EntryWith("{\"address", "{\"born\":\"1\",\"address")},
        UnreadableEntry{"StartIsFractional",
                        EntryWith("{\"address", "{\"born\":1.5,\"address")},
        UnreadableEntry{"StartIsNegative",
                        EntryWith("{\"address", "{\"born\":-1,\"address")}),
    [](const auto& tested) { return tested.param.name; });

// A target drains, is removed and starts again under its identifier as another
// process. It is used as soon as its entry arrives, without the state of the
// earlier process, also when an update of the earlier process arrives late.
TEST_F(TargetTableListenerTest, ADrainedTargetIsUsedAgainAfterItsRestart) {
  target_directory_.SetColdTime(ServiceName("desk"), seconds(3));
  listener_.OnTable(std::vector{Registered("a", kFirstStart), Registered("b")});
  listener_.OnRows(std::vector{Draining("a", kFirstStart)});
  listener_.OnRows(std::vector{Removed("a")});
  EXPECT_EQ(CountUsable(), 1U);

  listener_.OnRows(std::vector{Registered("a", kSecondStart)});
  EXPECT_EQ(CountUsable(), 2U);
  EXPECT_TRUE(Find("a", kSecondStart)->IsCold(clock_.Now()));

  listener_.OnRows(std::vector{Draining("a", kFirstStart)});
  EXPECT_EQ(CountUsable(), 2U);
}

// A target restarts so fast that its removal is never received. The state of
// the earlier process (objects, failures, another owner of its address) does
// not apply to the new one, which is cold.
TEST_F(TargetTableListenerTest, ARestartWithoutARemovalResetsTheTargetState) {
  target_directory_.SetColdTime(ServiceName("desk"), seconds(3));
  listener_.OnTable(std::vector{Registered("a", kFirstStart)});
  Find("a", kFirstStart)
      ->OnSent(request_path::ObjectKey("object"), clock_.Now());
  Find("a", kFirstStart)->MarkReplaced();
  EXPECT_EQ(CountUsable(), 0U);

  listener_.OnRows(std::vector{Registered("a", kSecondStart)});

  ASSERT_EQ(CountUsable(), 1U);
  EXPECT_EQ(Find("a", kFirstStart), nullptr);
  const request_path::TargetState* const started = Find("a", kSecondStart);
  EXPECT_FALSE(started->HasHandled(request_path::ObjectKey("object")));
  EXPECT_EQ(started->OwnOutstanding(), 0U);
  EXPECT_TRUE(started->IsCold(clock_.Now() + seconds(2)));
}

// A target restarts twice within one heartbeat: only the last process counts,
// and an entry of the process in between that arrives later changes nothing.
TEST_F(TargetTableListenerTest, TheLatestOfTwoQuickRestartsWins) {
  listener_.OnTable(std::vector{Registered("a", kFirstStart)});
  listener_.OnRows(std::vector{Registered("a", kSecondStart + 5)});
  listener_.OnRows(std::vector{Draining("a", kSecondStart)});

  EXPECT_EQ(CountUsable(), 1U);
  EXPECT_NE(Find("a", kSecondStart + 5), nullptr);
}

// A target crashes during a store outage and its entry expires. When the store
// is back, the new process has registered: it is used, without the state of the
// earlier process.
TEST_F(TargetTableListenerTest, ARestartDuringAStoreOutageIsANewProcess) {
  listener_.OnTable(std::vector{Registered("a", kFirstStart)});
  Find("a", kFirstStart)
      ->OnSent(request_path::ObjectKey("object"), clock_.Now());
  listener_.OnCallFailed({.failure = replication::RowFailure::kUnreachable});
  clock_.Advance(seconds(9));
  listener_.OnStoreRecovered(seconds(9));
  listener_.OnExpiryKnown(clock_.Now() + milliseconds(2200));
  listener_.OnTable(std::vector<replication::Row>{});
  EXPECT_EQ(CountUsable(), 1U);

  listener_.OnRows(std::vector{Registered("a", kSecondStart)});
  clock_.Advance(seconds(3));
  EXPECT_EQ(CountUsable(), 1U);
  EXPECT_FALSE(
      Find("a", kSecondStart)->HasHandled(request_path::ObjectKey("object")));
}

// An entry without an incarnation, or with the known one, belongs to the known
// process: it neither resets its state nor makes a draining target usable
// again.
TEST_F(TargetTableListenerTest, AnEqualOrAbsentIncarnationIsTheKnownProcess) {
  listener_.OnTable(std::vector{Registered("a", kFirstStart)});
  Find("a", kFirstStart)
      ->OnSent(request_path::ObjectKey("object"), clock_.Now());

  listener_.OnRows(std::vector{Registered("a", kFirstStart), Registered("a")});
  EXPECT_TRUE(
      Find("a", kFirstStart)->HasHandled(request_path::ObjectKey("object")));

  listener_.OnRows(std::vector{Draining("a")});
  EXPECT_EQ(CountUsable(), 0U);
  listener_.OnRows(std::vector{Registered("a", kFirstStart), Registered("a")});
  EXPECT_EQ(CountUsable(), 0U);
  listener_.OnRows(std::vector{Removed("a"), Registered("a")});
  EXPECT_EQ(CountUsable(), 0U);
}

// A target that was removed without draining may return under the same or a
// later start, which is then another process, but never under an earlier one.
TEST_F(TargetTableListenerTest, AnEarlierProcessIsIgnoredAfterALaterOne) {
  listener_.OnTable(std::vector{Registered("a", kSecondStart)});
  listener_.OnRows(std::vector{Removed("a")});
  listener_.OnRows(std::vector{Registered("a", kFirstStart)});
  EXPECT_EQ(CountUsable(), 0U);

  listener_.OnRows(std::vector{Registered("a", kSecondStart)});
  EXPECT_EQ(CountUsable(), 1U);
}

}  // namespace
}  // namespace medlarcroft::node
