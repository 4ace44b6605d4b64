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

/// One host's manager of its seats and shares.
struct Host {
  HostName name;
  CapacityManager manager;

  Host(const char* host, ports::TableStore& store, const ports::Clock& clock)
      : name(host),
        manager({.host = HostName(host), .incarnation = 1, .rules = kRules},
                store,
                clock) {}
};

class CapacityManagerTest : public testing::Test {
 protected:
  /// Gives both hosts the same plan, including each other's seats.
  void ApplyPlans(std::uint32_t slots, std::uint64_t revision) {
    for (Host* host : {&first_, &second_}) {
      Host& other = host == &first_ ? second_ : first_;
      CapacityPlan plan;
      plan.domains.push_back(
          {.failure_domain = kDomain, .seats = 2, .split_revision = revision});
      plan.limits.push_back(
          {.target = kTarget, .failure_domain = kDomain, .slots = slots});
      plan.lenders.push_back({other.name, other.manager.Seats()});
      plan.evidence.is_list_fresh = true;
      plan.evidence.peers.push_back({.peer = {.host = other.name,
                                              .incarnation = 1,
                                              .failure_domain = kDomain,
                                              .is_listed_live = true,
                                              .answered_at = clock_.Now()},
                                     .seats = other.manager.Seats()});
      host->manager.ApplyPlan(plan);
    }
  }

  /// Advances time in steps, with heartbeats and seat rounds as in the daemon.
  void RunFor(Duration duration, std::uint32_t slots, std::uint64_t revision) {
    for (Duration passed{}; passed < duration; passed += milliseconds(500)) {
      clock_.Advance(milliseconds(500));
      ApplyPlans(slots, revision);
      for (Host* host : {&first_, &second_}) {
        host->manager.RecordHeartbeat();
        host->manager.StepSeats(false);
      }
    }
  }

  static std::uint32_t TakeAll(CapacityManager& manager) {
    std::uint32_t taken = 0;
    while (manager.TryTake(kTarget)) {
      ++taken;
    }
    return taken;
  }

  static void Borrow(Host& borrower, Host& lender) {
    for (const OutgoingShareRequest& outgoing :
         borrower.manager.CollectDueRequests({kTarget}).requests) {
      borrower.manager.Apply(outgoing, lender.manager.Lend(outgoing.request));
    }
  }

  fakes::ManualClock clock_;
  fakes::FakeTableStore store_;
  Host first_{"a-1", store_, clock_};
  Host second_{"a-2", store_, clock_};
};

TEST_F(CapacityManagerTest, SharesAddUpToTheSlots) {
  RunFor(seconds(5), 7, 1);

  EXPECT_TRUE(first_.manager.HasSeat());
  EXPECT_TRUE(second_.manager.HasSeat());
  EXPECT_EQ(TakeAll(first_.manager) + TakeAll(second_.manager), 7U);
}

TEST_F(CapacityManagerTest, OnlyTheBorrowerUsesLentSlots) {
  RunFor(seconds(5), 4, 1);
  EXPECT_EQ(TakeAll(first_.manager), 2U);

  Borrow(first_, second_);
  EXPECT_EQ(TakeAll(first_.manager), 1U);
  EXPECT_EQ(TakeAll(second_.manager), 1U);
}

// A host is paused while it holds a share and resumes long after its lease.
// Otherwise the target's slots would be used twice. No work may start after
// resuming until the seat is confirmed, although no timer ran during the pause.
TEST_F(CapacityManagerTest, PausedHostAcquiresNothingOnResume) {
  RunFor(seconds(5), 4, 1);
  clock_.Advance(seconds(5));

  EXPECT_EQ(TakeAll(first_.manager), 0U);
  first_.manager.RecordHeartbeat();
  EXPECT_EQ(TakeAll(first_.manager), 0U);
  RunFor(seconds(2), 4, 1);
  EXPECT_EQ(TakeAll(first_.manager), 2U);
}

// The pause was longer than a takeover takes. The seat's own row is then not
// enough to confirm the seat, because another host may have taken and released
// it. The host waits until all work of such a host has ended, then continues.
TEST_F(CapacityManagerTest, LongPauseRequiresReuseDelay) {
  RunFor(seconds(5), 4, 1);
  clock_.Advance(seconds(20));

  RunFor(seconds(2), 4, 1);
  EXPECT_EQ(TakeAll(first_.manager), 0U);
  RunFor(seconds(10), 4, 1);
  EXPECT_EQ(TakeAll(first_.manager), 2U);
}

// An operator raises a target's slots and the hosts learn of it one after the
// other. Each may use its larger share only when both have adopted the change
// and earlier work has ended, so that until then the sum does not exceed the
// old limit.
TEST_F(CapacityManagerTest, LargerShareWaitsForAllHolders) {
  RunFor(seconds(5), 4, 1);
  RunFor(seconds(1), 8, 2);
  EXPECT_LE(first_.manager.UsableSlotsOf(kTarget).Total() +
                second_.manager.UsableSlotsOf(kTarget).Total(),
            4U);
  RunFor(seconds(12), 8, 2);
  EXPECT_EQ(TakeAll(first_.manager) + TakeAll(second_.manager), 8U);
}

// During a long platform outage both hosts keep their shares, because no host
// can take a seat from them.
TEST_F(CapacityManagerTest, KeepsSharesWithoutThePlatform) {
  RunFor(seconds(5), 6, 1);
  store_.SetDown(true);
  RunFor(seconds(60), 6, 1);

  EXPECT_EQ(TakeAll(first_.manager) + TakeAll(second_.manager), 6U);
}

TEST_F(CapacityManagerTest, ReleasedSeatIsNotUsed) {
  RunFor(seconds(5), 6, 1);
  first_.manager.ReleaseSeats();

  EXPECT_EQ(TakeAll(first_.manager), 0U);
  EXPECT_EQ(first_.manager.OwnRateShare(kDomain, 100.0), 0.0);
  EXPECT_EQ(second_.manager.OwnRateShare(kDomain, 100.0), 50.0);
}

// Guards against all hosts polling the seat rows six times as often as
// intended, as when 52 hosts share targets of 3 to 8 slots. Both hosts take a
// seat of a target with one slot. Once its split is settled, the host with a
// share of 0 must not count as waiting for more.
TEST_F(CapacityManagerTest, ShareOfZeroIsNotWaitedFor) {
  RunFor(seconds(40), /*slots=*/1, /*revision=*/1);
  ASSERT_TRUE(first_.manager.HasSeat());
  ASSERT_TRUE(second_.manager.HasSeat());
  EXPECT_EQ(first_.manager.UsableSlotsOf(kTarget).own +
                second_.manager.UsableSlotsOf(kTarget).own,
            1U);
  EXPECT_FALSE(first_.manager.IsWaitingForSplit());
  EXPECT_FALSE(second_.manager.IsWaitingForSplit());
}

}  // namespace
}  // namespace medlarcroft::capacity
