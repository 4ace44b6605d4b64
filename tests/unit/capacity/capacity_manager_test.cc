#include "medlarcroft/capacity/capacity_manager.h"

#include <gtest/gtest.h>

#include "fakes/fake_table_store.h"
#include "fakes/manual_clock.h"

namespace medlarcroft::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const FailureDomainName kDomain("domain-a");
const TargetName kTarget("target-1");
constexpr LeaseRules kRules{.lease = seconds(3), .max_work = seconds(5)};

/// One host's keeper with the seats that others say they hold.
struct Host {
  HostName name;
  CapacityManager keeper;

  Host(const char* host, ports::TableStore& store, const ports::Clock& clock)
      : name(host),
        keeper({.host = HostName(host), .incarnation = 1, .rules = kRules},
               store,
               clock) {}
};

class CapacityManagerTest : public testing::Test {
 protected:
  /// Gives both hosts the same plan, with each other's seats in it.
  void ApplyPlans(std::uint32_t slots, std::uint64_t revision) {
    for (Host* host : {&first_, &second_}) {
      Host& other = host == &first_ ? second_ : first_;
      CapacityPlan plan;
      plan.domains.push_back(
          {.failure_domain = kDomain, .seats = 2, .split_revision = revision});
      plan.limits.push_back(
          {.target = kTarget, .failure_domain = kDomain, .slots = slots});
      plan.lenders.push_back({other.name, other.keeper.Seats()});
      plan.evidence.is_list_fresh = true;
      plan.evidence.peers.push_back({.peer = {.host = other.name,
                                              .incarnation = 1,
                                              .failure_domain = kDomain,
                                              .is_listed_live = true,
                                              .answered_at = clock_.Now()},
                                     .seats = other.keeper.Seats()});
      host->keeper.ApplyPlan(plan);
    }
  }

  /// Lets time pass in steps, with beats and seat rounds as the daemon makes.
  void Run(Duration duration, std::uint32_t slots, std::uint64_t revision) {
    for (Duration passed{}; passed < duration; passed += milliseconds(500)) {
      clock_.Advance(milliseconds(500));
      ApplyPlans(slots, revision);
      for (Host* host : {&first_, &second_}) {
        host->keeper.RecordHeartbeat();
        host->keeper.StepSeats(false);
      }
    }
  }

  static std::uint32_t TakeAll(CapacityManager& keeper) {
    std::uint32_t taken = 0;
    while (keeper.TryTake(kTarget)) {
      ++taken;
    }
    return taken;
  }

  static void Borrow(Host& borrower, Host& lender) {
    for (const OutgoingShareRequest& ask :
         borrower.keeper.CollectDueRequests({kTarget}).requests) {
      borrower.keeper.Apply(ask, lender.keeper.Lend(ask.request));
    }
  }

  fakes::ManualClock clock_;
  fakes::FakeTableStore store_;
  Host first_{"a-1", store_, clock_};
  Host second_{"a-2", store_, clock_};
};

TEST_F(CapacityManagerTest, PartsAddUpToTheSlots) {
  Run(seconds(5), 7, 1);

  EXPECT_TRUE(first_.keeper.HasSeat());
  EXPECT_TRUE(second_.keeper.HasSeat());
  EXPECT_EQ(TakeAll(first_.keeper) + TakeAll(second_.keeper), 7U);
}

TEST_F(CapacityManagerTest, LentSlotsAreUsedByTheBorrowerOnly) {
  Run(seconds(5), 4, 1);
  EXPECT_EQ(TakeAll(first_.keeper), 2U);

  Borrow(first_, second_);
  EXPECT_EQ(TakeAll(first_.keeper), 1U);
  EXPECT_EQ(TakeAll(second_.keeper), 1U);
}

// A host is paused after it has taken a share into account, and wakes up long
// after its lease. The target must not get its slots twice: nothing starts on
// waking until the seat was confirmed, although no timer has run meanwhile.
TEST_F(CapacityManagerTest, PausedHostTakesNothingOnWaking) {
  Run(seconds(5), 4, 1);
  clock_.Advance(seconds(5));

  EXPECT_EQ(TakeAll(first_.keeper), 0U);
  first_.keeper.RecordHeartbeat();
  EXPECT_EQ(TakeAll(first_.keeper), 0U);
  Run(seconds(2), 4, 1);
  EXPECT_EQ(TakeAll(first_.keeper), 2U);
}

// The pause was longer than a takeover needs. The seat's row alone does not end
// the doubt then, since a taker may have come and gone; the host waits until
// whatever a taker could have begun is over, and goes on after that.
TEST_F(CapacityManagerTest, LongPauseCostsOneMoreWait) {
  Run(seconds(5), 4, 1);
  clock_.Advance(seconds(20));

  Run(seconds(2), 4, 1);
  EXPECT_EQ(TakeAll(first_.keeper), 0U);
  Run(seconds(10), 4, 1);
  EXPECT_EQ(TakeAll(first_.keeper), 2U);
}

// An operator raises a target's slots. One host learns of it before the other.
// Each may use its larger part only when both have adopted the change and what
// was started before has ended, so the sum is never above the old limit before.
TEST_F(CapacityManagerTest, LargerPartWaitsForAllHolders) {
  Run(seconds(5), 4, 1);
  Run(seconds(1), 8, 2);
  EXPECT_LE(first_.keeper.UsableSlotsOf(kTarget).Total() +
                second_.keeper.UsableSlotsOf(kTarget).Total(),
            4U);
  Run(seconds(12), 8, 2);
  EXPECT_EQ(TakeAll(first_.keeper) + TakeAll(second_.keeper), 8U);
}

// The platform is down for an hour. Both hosts go on with their parts, since
// nobody can take a seat from them meanwhile.
TEST_F(CapacityManagerTest, GoesOnWithoutThePlatform) {
  Run(seconds(5), 6, 1);
  store_.SetDown(true);
  Run(seconds(60), 6, 1);

  EXPECT_EQ(TakeAll(first_.keeper) + TakeAll(second_.keeper), 6U);
}

TEST_F(CapacityManagerTest, GivenUpSeatIsUsedNoMore) {
  Run(seconds(5), 6, 1);
  first_.keeper.ReleaseSeats();

  EXPECT_EQ(TakeAll(first_.keeper), 0U);
  EXPECT_EQ(first_.keeper.OwnRateShare(kDomain, 100.0), 0.0);
  EXPECT_EQ(second_.keeper.OwnRateShare(kDomain, 100.0), 50.0);
}

// What operators see: 52 hosts share targets of 3 to 8 slots, and all of them
// read all seats from the platform six times as often as they should. First
// both hosts take a seat of a target with one slot; then its split is settled,
// and the host whose part is 0 must not count as waiting for more.
TEST_F(CapacityManagerTest, APartOfZeroIsNotWaitedFor) {
  Run(seconds(40), /*slots=*/1, /*revision=*/1);
  ASSERT_TRUE(first_.keeper.HasSeat());
  ASSERT_TRUE(second_.keeper.HasSeat());
  EXPECT_EQ(first_.keeper.UsableSlotsOf(kTarget).own +
                second_.keeper.UsableSlotsOf(kTarget).own,
            1U);
  EXPECT_FALSE(first_.keeper.IsWaitingForSplit());
  EXPECT_FALSE(second_.keeper.IsWaitingForSplit());
}

}  // namespace
}  // namespace medlarcroft::capacity
