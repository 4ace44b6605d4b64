#include <benchmark/benchmark.h>

#include "allocation_counter.h"
#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/steering/lookup_demand_tracker.h"
#include "medlarcroft/steering/lookup_planner.h"
#include "medlarcroft/steering/shift_limiter.h"
#include "medlarcroft/steering/shift_planner.h"
#include "planned_size.h"
#include "reference_sort.h"

namespace medlarcroft::benchmarks {
namespace {

using steering::EntryHost;

constexpr Duration kPlanInterval = std::chrono::milliseconds(500);

/// One planning step for all services in 17 domains. Argument: services.
void PlanShifts(benchmark::State& state, double first_utilisation) {
  const int services = static_cast<int>(state.range(0));
  const auto catalogue = PlannedCatalogue(services);
  const auto loads = PlannedLoads(services, 0.5, first_utilisation);
  fakes::ManualClock clock;
  const std::size_t before = live_bytes;
  steering::ShiftPlanner planner(clock);

  for (auto iteration : state) {
    (void)iteration;
    clock.Advance(kPlanInterval);
    benchmark::DoNotOptimize(
        planner.Plan({.catalogue = catalogue.get(), .domains = loads}));
  }
  state.counters["kilobytes"] = static_cast<double>(live_bytes - before) / 1e3;
}

void PlanShiftsAtRest(benchmark::State& state) {
  PlanShifts(state, 0.5);
}
void PlanShiftsInSurge(benchmark::State& state) {
  PlanShifts(state, 1.3);
}
BENCHMARK(PlanShiftsAtRest)->Arg(1)->Arg(3)->Arg(12)->Arg(60);
BENCHMARK(PlanShiftsInSurge)->Arg(1)->Arg(3)->Arg(12)->Arg(60);

std::vector<EntryHost> PlannedHosts(int services) {
  std::vector<EntryHost> hosts;
  for (int domain = 0; domain < kDomains; ++domain) {
    for (int number = 0; number < kHostsPerDomain; ++number) {
      EntryHost host{
          .host = HostName(DomainName(domain) + "-" + std::to_string(number)),
          .address = "10.0.0.1:8080",
          .failure_domain = FailureDomainName(DomainName(domain)),
          .phase = steering::EntryHostPhase::kReady,
          .liveness = steering::EntryHostLiveness::kAlive};
      for (int service = 0; service < services; ++service) {
        host.loads.push_back({.service = ServiceOf(service),
                              .outstanding = 1.0 * (number % 3),
                              .usable_slots = 4.0});
      }
      hosts.push_back(std::move(host));
    }
  }
  return hosts;
}

steering::LookupInputs PlannedInputs(int services) {
  return {.catalogue = PlannedCatalogue(services),
          .hosts = PlannedHosts(services),
          .domains = PlannedLoads(services, 0.5, 0.5),
          .own_domain = FailureDomainName(DomainName(0))};
}

/// Plans one look-up answer among 884 hosts. Argument: services.
void PlanLookup(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  fakes::ManualClock clock;
  fakes::SeededRandom random(1);
  steering::LookupPlanner planner(clock, random);
  planner.Update(PlannedInputs(services));
  const steering::LookupRequest request{
      .service = ServiceOf(services - 1),
      .nearest = FailureDomainName(DomainName(3))};

  for (auto iteration : state) {
    (void)iteration;
    benchmark::DoNotOptimize(planner.Plan(request));
  }
}
BENCHMARK(PlanLookup)->Arg(1)->Arg(12);

/// Updates the planner with 884 hosts, which happens several times a second;
/// includes the copy of the inputs.
void UpdateLookups(benchmark::State& state) {
  fakes::ManualClock clock;
  fakes::SeededRandom random(1);
  steering::LookupPlanner planner(clock, random);
  const std::size_t before = live_bytes;
  const auto inputs = PlannedInputs(3);
  const std::size_t once = live_bytes - before;

  for (auto iteration : state) {
    (void)iteration;
    planner.Update(inputs);
  }
  state.counters["kilobytes"] =
      static_cast<double>(live_bytes - before - once) / 1e3;
}
BENCHMARK(UpdateLookups);

void RecordHandedOut(benchmark::State& state) {
  steering::LookupDemandTracker demand;
  fakes::ManualClock clock;
  const ServiceName service = ServiceOf(0);
  const FailureDomainName domain(DomainName(3));

  for (auto iteration : state) {
    (void)iteration;
    clock.Advance(std::chrono::milliseconds(1));
    demand.Record(service, domain, 1.0, std::chrono::seconds(5), clock.Now());
  }
}
BENCHMARK(RecordHandedOut);

void TryForward(benchmark::State& state) {
  fakes::ManualClock clock;
  steering::ShiftLimiter limiter(clock);
  const FailureDomainName to(DomainName(1));
  limiter.Update(
      std::vector<steering::LinkAllowance>{{to, 1000.0}},
      std::vector<steering::ShiftAllowance>{{ServiceOf(0), to, 1000.0}});
  const ServiceName service = ServiceOf(0);

  for (auto iteration : state) {
    (void)iteration;
    clock.Advance(std::chrono::milliseconds(1));
    benchmark::DoNotOptimize(limiter.TryForward(service, to));
  }
}
BENCHMARK(TryForward);

}  // namespace
}  // namespace medlarcroft::benchmarks
