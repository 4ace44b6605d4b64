// Applies random snapshots and calls to a TargetTable of three services that
// share targets. After each call the lists used for choosing a target must
// equal what a scan of all targets gives: a target that is missing there is
// lost to its service, and a target that is wrongly listed is sent work that it
// has no slot for.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <set>
#include <string>
#include <vector>

#include "medlarcroft/decision/target_table.h"

namespace medlarcroft::decision {
namespace {

using std::chrono::milliseconds;

constexpr ServiceIndex kServices = 3;
constexpr std::array kServiceTimes{milliseconds(10), milliseconds(20),
                                   milliseconds(500)};

struct TakenSlot {
  TargetIndex target = 0;
  ServiceIndex service = 0;
};

class TableHarness {
 public:
  void Configure() {
    std::vector<std::vector<TargetConfig>> configs(kServices);
    std::vector<ServiceTargets> services;
    for (ServiceIndex service = 0; service < kServices; ++service) {
      for (int i = 0; i < 6; ++i) {
        if (!*rc::gen::arbitrary<bool>())
          continue;
        configs[service].push_back(
            {.name = TargetName("t" + std::to_string(i)),
             .slots = 4,
             .share = *rc::gen::inRange<std::uint32_t>(0, 5),
             .is_leaving = *rc::gen::inRange(0, 8) == 0,
             .share_lease_until =
                 now_ + milliseconds(*rc::gen::inRange(1, 500))});
      }
      services.push_back({.service = service,
                          .expected_service_time = kServiceTimes[service],
                          .targets = configs[service]});
    }
    table_.Configure(services, milliseconds(300), now_);
  }

  void TakeSlot() {
    const auto service = *rc::gen::inRange<ServiceIndex>(0, kServices);
    const auto available = table_.Available(service);
    if (available.empty())
      return;
    const TargetIndex target =
        available[*rc::gen::inRange<std::size_t>(0, available.size())];
    if (table_.TryTake(target, service, now_)) {
      taken_slots_.push_back({.target = target, .service = service});
    }
  }

  void ReleaseSlot() {
    if (taken_slots_.empty())
      return;
    const TakenSlot taken = taken_slots_.back();
    taken_slots_.pop_back();
    if (*rc::gen::arbitrary<bool>()) {
      table_.Release(taken.target, taken.service, now_);
    } else {
      table_.ReleaseAt(taken.target, taken.service, now_ + milliseconds(20));
    }
  }

  void FailTarget() {
    if (taken_slots_.empty())
      return;
    const TargetIndex target = taken_slots_.front().target;
    for (int i = 0; i < 5; ++i)
      table_.At(target).health.OnFailure();
    table_.EjectIfOutlier(target, now_);
  }

  void MarkTargetLeaving() {
    const auto target =
        table_.Find(TargetName("t" + std::to_string(*rc::gen::inRange(0, 6))));
    if (target)
      table_.MarkLeaving(*target, now_);
  }

  void Advance() {
    now_ += milliseconds(*rc::gen::inRange(0, 100));
    table_.Advance(now_);
  }

  void ExpectListsMatchTargets() const {
    for (ServiceIndex service = 0; service < kServices; ++service) {
      std::set<TargetIndex> expected;
      std::uint32_t usable = 0;
      for (const TargetIndex target : table_.Members(service)) {
        usable += table_.At(target).usable;
        if (HasRoom(table_.At(target), service))
          expected.insert(target);
      }
      const auto available = table_.Available(service);
      RC_ASSERT(available.size() == expected.size());
      RC_ASSERT(std::set<TargetIndex>(available.begin(), available.end()) ==
                expected);
      RC_ASSERT(table_.UsableSlots(service) == usable);
    }
  }

 private:
  static bool HasRoom(const TargetState& target, ServiceIndex service) {
    const auto membership = std::ranges::find(target.memberships, service,
                                              &TargetMembership::service);
    if (target.outstanding >= target.usable)
      return false;
    if (!membership->is_long_running || target.usable < 2)
      return true;
    return membership->outstanding <
           target.usable - std::max(1U, target.usable / 4);
  }

  MonotonicTime now_{std::chrono::hours(1)};
  TargetTable table_;
  std::vector<TakenSlot> taken_slots_;
};

TEST(TargetTableProperty, ListsMatchTargetsAfterAnyCalls) {
  EXPECT_TRUE(rc::check([] {
    static constexpr std::array kCalls{
        &TableHarness::Configure,   &TableHarness::TakeSlot,
        &TableHarness::TakeSlot,    &TableHarness::TakeSlot,
        &TableHarness::ReleaseSlot, &TableHarness::ReleaseSlot,
        &TableHarness::FailTarget,  &TableHarness::MarkTargetLeaving,
        &TableHarness::Advance};
    TableHarness harness;
    harness.Configure();
    const int calls = *rc::gen::inRange(0, 150);
    for (int i = 0; i < calls; ++i) {
      (harness.*kCalls[*rc::gen::inRange<std::size_t>(0, kCalls.size())])();
      harness.ExpectListsMatchTargets();
    }
  }));
}

}  // namespace
}  // namespace medlarcroft::decision
