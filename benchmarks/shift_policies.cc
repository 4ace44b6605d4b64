// Compares shift policies in the scenarios of tests/scenarios/steering. The
// counters are computed in virtual time and are the same in each run; the times
// are only the duration of the simulation.

#include <benchmark/benchmark.h>

#include <string>

#include "scenarios/steering/shift_loop.h"
#include "shift_baselines.h"

namespace medlarcroft::benchmarks {
namespace {

using steering::ShiftPlannerOptions;
using steering::scenario::Outcome;
using steering::scenario::PlannerPolicy;
using steering::scenario::PolicyFactory;
using steering::scenario::Scenario;
using steering::scenario::ShiftLoop;

constexpr std::uint64_t kSeed = 20261202;

std::vector<std::pair<std::string, PolicyFactory>> Policies() {
  ShiftPlannerOptions no_hysteresis;
  no_hysteresis.return_hold_time = Duration::zero();
  no_hysteresis.growth_margin = 0.0;
  ShiftPlannerOptions no_warm_up;
  no_warm_up.warm_up.cold_fraction = 1.0;

  return {
      {"planner",
       [](const auto& clock) {
         return std::make_unique<PlannerPolicy>(clock);
       }},
      {"planner_without_pending",
       [](const auto& clock) {
         return std::make_unique<PlannerWithoutPending>(clock);
       }},
      {"planner_without_hysteresis",
       [no_hysteresis](const auto& clock) {
         return std::make_unique<PlannerPolicy>(clock, no_hysteresis);
       }},
      {"planner_without_warm_up",
       [no_warm_up](const auto& clock) {
         return std::make_unique<PlannerPolicy>(clock, no_warm_up);
       }},
      {"greedy_nearest",
       [](const auto&) { return std::make_unique<GreedyNearest>(); }},
      {"proportional_feedback",
       [](const auto&) { return std::make_unique<ProportionalFeedback>(); }},
      {"stay_home", [](const auto&) { return std::make_unique<NoShift>(); }}};
}

void RunScenario(benchmark::State& state,
                 const Scenario& scenario,
                 const PolicyFactory& make_policy) {
  Outcome outcome;
  for (auto iteration : state) {
    (void)iteration;
    outcome = ShiftLoop(scenario, make_policy, kSeed).Run();
  }

  state.counters["refused_percent"] = 100.0 * outcome.RefusedShare();
  state.counters["late_percent"] = 100.0 * outcome.LateShare();
  state.counters["bounced"] = static_cast<double>(outcome.bounced);
  state.counters["refused_at_receiver"] =
      static_cast<double>(outcome.refused_at_receiver);
  state.counters["reversals"] = outcome.reversals;
  state.counters["relief_seconds"] = outcome.relief_seconds;
  state.counters["over_step"] = outcome.peak_over_step;
  state.counters["over_cap"] = outcome.peak_over_cap;
  state.counters["shifted_far"] = outcome.shifted_far;
}

const bool kRegistered = [] {
  const std::string folder =
      std::string(MEDLARCROFT_SOURCE_DIR) + "/tests/scenarios/steering/";
  const auto scenarios = steering::scenario::ReadScenarios(
      folder + "shifts.yaml",
      steering::scenario::ReadDeployments(folder + "deployments.yaml"));

  for (const Scenario& scenario : scenarios) {
    for (const auto& [name, make_policy] : Policies()) {
      benchmark::RegisterBenchmark(
          (scenario.name + "/" + name).c_str(),
          [scenario, policy = make_policy](benchmark::State& state) {
            RunScenario(state, scenario, policy);
          })
          ->Iterations(1)
          ->Unit(benchmark::kMillisecond);
    }
  }
  return true;
}();

}  // namespace
}  // namespace medlarcroft::benchmarks
