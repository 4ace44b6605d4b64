#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>

#include "fakes/manual_clock.h"
#include "medlarcroft/steering/shift_planner.h"
#include "unit/steering/steering_fixture.h"

namespace medlarcroft::steering {
namespace {

constexpr int kDomains = 4;
constexpr double kSlots = 20.0;
constexpr double kHeadroom = 0.2;
constexpr Duration kWindow = std::chrono::seconds(5);

std::string NameOf(int domain) {
  return "d" + std::to_string(domain);
}

/// The planner's inputs at one step. Loads, ages, deaths and drains change at
/// random, as after lost messages, and so does time.
struct PlannerState {
  std::vector<DomainLoad> domains;
  std::vector<PendingDemand> pending;
  double link_capacity = 0.0;
  int drained = -1;
};

PlannerState DrawPlannerState() {
  PlannerState state{.link_capacity = 1.0 * *rc::gen::inRange(0, 400),
                     .drained = *rc::gen::inRange(-6, kDomains)};
  for (int domain = 0; domain < kDomains; ++domain) {
    if (*rc::gen::inRange(0, 10) == 0) {
      continue;  // No measurements were received.
    }

    const double demand = *rc::gen::inRange(0, 3000);
    DomainLoad load{
        .failure_domain = FailureDomainName(NameOf(domain)),
        .live_hosts = *rc::gen::inRange(0, 8) == 0 ? 0U : 2U,
        .age = std::chrono::milliseconds(*rc::gen::inRange(0, 15000))};
    for (const char* service : {"s0", "s1"}) {
      load.loads.push_back(
          {.service = ServiceName(service),
           .demand_per_second = demand,
           .outstanding = *rc::gen::inRange(0, 21) * 1.0,
           .queued = *rc::gen::inRange(0, 3) * 10.0,
           .usable_slots = *rc::gen::inRange(0, 8) == 0 ? 0.0 : kSlots,
           .refused_per_second = std::max(demand - 1000.0, 0.0)});
    }
    state.domains.push_back(std::move(load));
  }
  return state;
}

fixture::CatalogueBuilder CatalogueOf(const PlannerState& state) {
  fixture::CatalogueBuilder builder;
  for (const char* service : {"s0", "s1"}) {
    builder.Add(catalogue::ServiceEntry{
        .service = ServiceName(service),
        .request_class = {.expected_service_time =
                              std::chrono::milliseconds(20)},
        .reserved_headroom = kHeadroom});
  }
  for (int from = 0; from < kDomains; ++from) {
    builder.AddDomain(NameOf(from), "region");
    for (int to = 0; to < kDomains; ++to) {
      if (from != to) {
        builder.Add(catalogue::LinkEntry{
            .from = FailureDomainName(NameOf(from)),
            .to = FailureDomainName(NameOf(to)),
            .latency = std::chrono::milliseconds(5 * (from + to)),
            .capacity = state.link_capacity,
            .shift_step = 30.0,
            .shift_window = kWindow});
      }
    }
  }
  if (state.drained >= 0) {
    builder.AddDrain(catalogue::DrainSubject::kFailureDomain,
                     NameOf(state.drained));
  }
  return builder;
}

using LinkRates =
    std::map<std::pair<FailureDomainName, FailureDomainName>, double>;

void CheckReceivers(const PlannerState& state, const ShiftPlan& plan) {
  std::map<std::pair<ServiceName, FailureDomainName>, double> inflow;
  for (const PlannedShift& shift : plan.shifts) {
    RC_ASSERT(shift.rate >= 0.0);
    RC_ASSERT(shift.fraction >= 0.0 && shift.fraction <= 1.0);
    inflow[{shift.service, shift.to}] += shift.rate;
  }

  for (const auto& [pool, rate] : inflow) {
    const ServiceName& service = pool.first;
    const FailureDomainName& receiver = pool.second;
    const auto found = std::find_if(
        state.domains.begin(), state.domains.end(),
        [&](const auto& domain) { return domain.failure_domain == receiver; });
    const bool is_offering =
        found != state.domains.end() && found->live_hosts > 0 &&
        found->age < ShiftPlannerOptions().stale_age &&
        found->loads[service.Value() == "s0" ? 0 : 1].usable_slots > 0.0 &&
        (state.drained < 0 || receiver.Value() != NameOf(state.drained));
    RC_ASSERT(is_offering || rate <= 1e-6);
    RC_ASSERT(rate <= kSlots / 0.02 * (1.0 - kHeadroom) + 1e-6);
  }
}

// Whatever the measurements are and however they change: links keep their
// capacities and steps, and nothing is sent to a failure domain that must not
// be offered.
TEST(ShiftPlannerProperties, LimitsHoldUnderAnyMeasurements) {
  EXPECT_TRUE(rc::check([] {
    fakes::ManualClock clock;
    ShiftPlanner planner(clock);
    std::map<LinkRates::key_type, std::deque<std::pair<MonotonicTime, double>>>
        history;

    for (int step = 0; step < 20; ++step) {
      clock.Advance(std::chrono::milliseconds(*rc::gen::inRange(100, 4000)));
      const PlannerState state = DrawPlannerState();
      const auto catalogue = CatalogueOf(state).Build();
      const ShiftPlan plan = planner.Plan(
          {.catalogue = catalogue.get(), .domains = state.domains});
      CheckReceivers(state, plan);

      LinkRates rates;
      for (const PlannedShift& shift : plan.shifts) {
        rates[{shift.from, shift.to}] += shift.rate;
      }
      for (int from = 0; from < kDomains; ++from) {
        for (int to = 0; to < kDomains; ++to) {
          const LinkRates::key_type link{FailureDomainName(NameOf(from)),
                                         FailureDomainName(NameOf(to))};
          const double rate = rates[link];
          RC_ASSERT(rate <= state.link_capacity + 1e-6);

          auto& past = history[link];
          past.emplace_back(clock.Now(), rate);
          while (clock.Now() - past.front().first >= kWindow) {
            past.pop_front();
          }
          for (const auto& [time, earlier] : past) {
            RC_ASSERT(rate - earlier <= 30.0 + 1e-6);
          }
        }
      }
    }
  }));
}

}  // namespace
}  // namespace medlarcroft::steering
