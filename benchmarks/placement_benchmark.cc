// Time of one placement (choosing a target, acquiring and releasing its slot)
// and of one request through the complete scheduler, by number of targets.
//
// Bounds: two choices take at most four times as long as a random choice in the
// same run, and at most 1 us with any number of targets.
#include <benchmark/benchmark.h>

#include <string>
#include <utility>
#include <vector>

#include "fakes/manual_clock.h"
#include "fakes/seeded_random.h"
#include "medlarcroft/decision/placement.h"
#include "medlarcroft/decision/request_scheduler.h"

namespace medlarcroft::decision {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr MonotonicTime kNow{std::chrono::hours(1)};

std::vector<TargetConfig> Targets(std::int64_t count) {
  std::vector<TargetConfig> targets;
  targets.reserve(count);
  for (std::int64_t i = 0; i < count; ++i) {
    targets.push_back({.name = TargetName("target-" + std::to_string(i)),
                       .slots = kSlots,
                       .share = kSlots / 2,
                       .share_lease_until = kNow + std::chrono::hours(1)});
  }
  return targets;
}

template <PlacementKind kKind>
void Place(benchmark::State& state) {
  const std::vector<TargetConfig> configs = Targets(state.range(0));
  TargetTable table;
  table.Configure(std::vector<ServiceTargets>{{.targets = configs}},
                  Duration(0), kNow);
  for (TargetIndex i = 0; i < configs.size(); ++i) {
    table.At(i).reported_at = kNow - std::chrono::milliseconds(i % 2000);
    table.At(i).reported_by_others = i % (kSlots / 2);
  }
  fakes::SeededRandom random(1);
  const auto placement = MakePlacementStrategy(kKind);

  for (auto _ : state) {
    const TargetIndex target =
        placement->Choose(table.Available(0), table, kNow, random);
    benchmark::DoNotOptimize(table.TryTake(target, 0, kNow));
    table.Release(target, 0, kNow);
  }
}

void SubmitAndAnswer(benchmark::State& state) {
  fakes::SeededRandom random(1);
  RequestScheduler scheduler({}, random);
  ServiceConfig config{.service = ServiceName("lookup-desk"),
                       .request_class = {.may_hedge = true},
                       .targets = Targets(state.range(0))};
  scheduler.Configure(std::vector{config}, kNow);
  const RequestDescription description{.service = config.service,
                                       .brand = BrandName("north")};
  MonotonicTime now = kNow;

  for (auto _ : state) {
    const Admission admission = scheduler.Submit(description, now);
    now += std::chrono::microseconds(10);
    benchmark::DoNotOptimize(scheduler.OnAttemptEnd(
        std::get<Dispatch>(admission).attempt, AttemptOutcome::kAnswered, now));
  }
}

void Sizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->Arg(12)->Arg(260)->Arg(5000);
}

BENCHMARK(Place<PlacementKind::kPowerOfTwoChoices>)->Apply(Sizes);
BENCHMARK(Place<PlacementKind::kRandom>)->Apply(Sizes);
BENCHMARK(Place<PlacementKind::kRoundRobin>)->Apply(Sizes);
BENCHMARK(Place<PlacementKind::kLeastReportedLoad>)->Apply(Sizes);
BENCHMARK(SubmitAndAnswer)->Apply(Sizes);

}  // namespace
}  // namespace medlarcroft::decision
