#include "medlarcroft/resources/memory_account.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace medlarcroft::resources {
namespace {

using std::chrono::milliseconds;
using enum HolderKind;
using Answer = MemoryAccount::Answer;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr MemoryLimits kLimits = {.total = 16 * kMegabyte,
                                  .small_part = kMegabyte,
                                  .answers = 2 * kMegabyte,
                                  .responses = 2 * kMegabyte};

struct HeldCase {
  HolderKind kind = kRequest;
  std::size_t megabytes = 0;
  milliseconds silent_for{0};
};

struct RoomCase {
  std::string name;
  std::vector<HeldCase> held;
  std::size_t wanted = 0;
  Answer expected = Answer::kGranted;
  MemoryAccount::Id victim = 0;
  GiveWayReason reason = GiveWayReason::kStalled;
};

class MemoryAccountTest : public testing::TestWithParam<RoomCase> {};

// Guards against memory that many clients take together, each within its own
// limit, and against taking it from those that cost most to refuse.
TEST_P(MemoryAccountTest, GivesRoomOrNamesWhoGivesWay) {
  MemoryAccount account(kLimits);
  const MonotonicTime now = kStart + std::chrono::seconds(10);
  for (const HeldCase& held : GetParam().held) {
    const auto id = account.Open(held.kind, now - held.silent_for);
    account.Set(id, held.megabytes * kMegabyte);
  }
  const auto asking = account.Open(kRequest, now);
  const auto decision = account.Ask(asking, GetParam().wanted, now);
  EXPECT_EQ(decision.answer, GetParam().expected);
  EXPECT_EQ(decision.holder, GetParam().victim);
  if (GetParam().victim != 0) {
    EXPECT_EQ(decision.reason, GetParam().reason);
  }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    MemoryAccountTest,
    testing::Values(
        RoomCase{"Enough", {{kRequest, 10}}, 4 * kMegabyte},
        RoomCase{"AllButThePartForSmallOnes", {}, 15 * kMegabyte},
        RoomCase{"MoreThanThereIs", {}, 16 * kMegabyte, Answer::kRefused},
        RoomCase{"SmallOnesKeepTheirPart", {{kRequest, 15}}, 4096},
        RoomCase{"WaitsForOthersThatComeOn",
                 {{kRequest, 8}, {kRequest, 7}},
                 kMegabyte,
                 Answer::kWait},
        RoomCase{"TheMostThatIsHeldWithoutProgressGoes",
                 {{kRequest, 5, milliseconds(5000)},
                  {kRequest, 6, milliseconds(1000)},
                  {kRequest, 4, milliseconds(100)}},
                 kMegabyte,
                 Answer::kGiveWay,
                 2},
        RoomCase{"ASmallOneWaitsLess",
                 {{kRequest, 8, milliseconds(300)}, {kRequest, 8}},
                 4096,
                 Answer::kGiveWay,
                 1},
        RoomCase{"ACopyForARepeatGoesFirst",
                 {{kRequest, 9, milliseconds(5000)}, {kRepeat, 6}},
                 kMegabyte,
                 Answer::kGiveWay,
                 2,
                 GiveWayReason::kRepeat},
        RoomCase{"WhoReadsNothingGoesAfterSeconds",
                 {{kRunning, 14, milliseconds(9000)},
                  {kResponse, 1, milliseconds(3000)}},
                 kMegabyte,
                 Answer::kGiveWay,
                 2,
                 GiveWayReason::kUnread},
        RoomCase{"RequestsAtWorkAreNotTouched",
                 {{kRunning, 15, milliseconds(9000)}},
                 kMegabyte,
                 Answer::kWait}),
    [](const auto& tested) { return tested.param.name; });

// Guards against bodies that wait for each other for good, and against all of
// them being refused although one at a time could be served.
TEST(MemoryAccountTest, TheLastOfThoseThatAllWaitGivesWay) {
  MemoryAccount account(kLimits);
  const auto first = account.Open(kRequest, kStart);
  const auto second = account.Open(kRequest, kStart);
  account.Set(first, 7 * kMegabyte);
  account.Set(second, 8 * kMegabyte);
  ASSERT_EQ(account.Ask(second, kMegabyte, kStart).answer, Answer::kWait);
  ASSERT_EQ(account.Ask(first, kMegabyte, kStart).answer, Answer::kWait);
  const auto victims = account.Advance(kStart + milliseconds(100));
  ASSERT_EQ(victims.size(), 1U);
  EXPECT_EQ(victims[0].holder, second);
  EXPECT_EQ(victims[0].reason, GiveWayReason::kAllWait);
  account.Close(second);
  EXPECT_EQ(account.TakeRoom(), std::vector{first});
  EXPECT_EQ(account.Ask(first, kMegabyte, kStart).answer, Answer::kGranted);
}

TEST(MemoryAccountTest, NobodyWaitsForLong) {
  MemoryAccount account(kLimits);
  account.Set(account.Open(kRunning, kStart), 15 * kMegabyte);
  const auto waiting = account.Open(kRequest, kStart);
  ASSERT_EQ(account.Ask(waiting, kMegabyte, kStart).answer, Answer::kWait);
  EXPECT_TRUE(account.Advance(kStart + milliseconds(1400)).empty());
  const auto victims = account.Advance(kStart + milliseconds(1500));
  ASSERT_EQ(victims.size(), 1U);
  EXPECT_EQ(victims[0].reason, GiveWayReason::kNoRoom);
  EXPECT_FALSE(account.HasWaiting());
}

// Guards against responses without end that take the memory of all others.
TEST(MemoryAccountTest, TheLargestResponseFailsFirst) {
  MemoryAccount account(kLimits);
  const auto small = account.Open(kAnswer, kStart);
  const auto endless = account.Open(kAnswer, kStart);
  account.Set(small, kMegabyte / 2);
  account.Set(endless, kMegabyte + kMegabyte / 2);
  EXPECT_EQ(account.Ask(endless, 1, kStart).answer, Answer::kRefused);
  const auto decision = account.Ask(small, 1, kStart);
  EXPECT_EQ(decision.answer, Answer::kGiveWay);
  EXPECT_EQ(decision.holder, endless);
  account.Close(endless);
  EXPECT_EQ(account.Ask(small, 1, kStart).answer, Answer::kGranted);
}

struct HostCase {
  std::size_t memory_mb;
  std::size_t largest_mb;
};

class HostLimitsTest : public testing::TestWithParam<HostCase> {};

// Guards against a host that refuses in calm what its users may send.
TEST_P(HostLimitsTest, LeavesRoomForOneBody) {
  const MemoryLimits limits =
      MemoryLimits::Of(GetParam().memory_mb * kMegabyte);
  EXPECT_GE(limits.Largest(), GetParam().largest_mb * kMegabyte);
  EXPECT_LE(limits.total, GetParam().memory_mb * kMegabyte * 5 / 8);
}

INSTANTIATE_TEST_SUITE_P(Hosts,
                         HostLimitsTest,
                         testing::Values(HostCase{112, 65},
                                         HostCase{160, 65},
                                         HostCase{260, 65},
                                         HostCase{48, 20},
                                         HostCase{16, 1}),
                         [](const auto& tested) {
                           return "of_" +
                                  std::to_string(tested.param.memory_mb);
                         });

}  // namespace
}  // namespace medlarcroft::resources
