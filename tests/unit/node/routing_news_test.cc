#include "routing_news.h"

#include <gtest/gtest.h>

#include <string>
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

rows::Row Registered(const std::string& target) {
  return {.key = target, .value = std::string(kEntry), .version = 5};
}

rows::Row Gone(const std::string& target) {
  return {.key = target, .version = 6, .is_removed = true};
}

class SilentObserver final : public request_path::BookObserver {
  void OnTargetChange(request_path::BookChange /*change*/,
                      const request_path::TargetRecord& /*target*/) override {}
};

class TargetNewsTest : public testing::Test {
 protected:
  [[nodiscard]] std::size_t Usable() {
    book_.Advance(clock_.Now());
    return book_.Usable(ServiceName("desk")).size();
  }

  fakes::ManualClock clock_;
  adapters::EventLoop loop_{clock_};
  SilentObserver observer_;
  request_path::TargetBook book_{{{FailureDomainName("z"), RegionName("r")}},
                                 observer_};
  TargetNews news_{loop_, book_};
};

// The store is away so long that all entries run out. Callers still get their
// answers while it comes back, as the targets live; one that does not register
// again within two seconds or so is gone and gets nothing more.
TEST_F(TargetNewsTest, LapsedTargetsServeUntilTheyHadTimeToRegister) {
  news_.OnTable(std::vector{Registered("a"), Registered("b")});
  news_.OnStoreLost(rows::RowFailure::kUnreachable);
  clock_.Advance(seconds(9));
  news_.OnStoreBack(seconds(9));
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
  news_.OnStoreLost(rows::RowFailure::kForgotten);
  news_.OnStoreBack(seconds(5));
  news_.OnTable(std::vector<rows::Row>{});
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

// An entry that can't be read takes nothing away from what is known.
TEST_F(TargetNewsTest, AnUnreadableEntryLeavesTheTargetAsItWas) {
  news_.OnTable(std::vector{Registered("a")});
  rows::Row broken = Registered("a");
  broken.value = "{";
  news_.OnRows(std::vector{broken});
  EXPECT_EQ(Usable(), 1U);
}

}  // namespace
}  // namespace medlarcroft::node
