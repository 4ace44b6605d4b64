#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <iostream>
#include <sstream>
#include <vector>

#include "scenarios/steering/shift_loop.h"

namespace medlarcroft::steering::scenario {
namespace {

const std::string& ScenarioFolder() {
  static const std::string folder =
      std::string(MEDLARCROFT_SOURCE_DIR) + "/tests/scenarios/steering/";
  return folder;
}

/// With one seed, figures of two equivalent policies can differ by a third, so
/// bounds apply to the mean of several seeds. Limits apply to each seed.
constexpr std::uint64_t kSeeds[] = {20261202, 20261203, 20261204};

std::vector<Scenario> AllScenarios() {
  return ReadScenarios(ScenarioFolder() + "shifts.yaml",
                       ReadDeployments(ScenarioFolder() + "deployments.yaml"));
}

struct Measure {
  const char* name;
  std::function<double(const Outcome&)> value;
};

const std::vector<Measure>& Measures() {
  static const std::vector<Measure> measures = {
      {"refused_share", [](const auto& run) { return run.RefusedShare(); }},
      {"late_share", [](const auto& run) { return run.LateShare(); }},
      {"forwarded", [](const auto& run) { return run.forwarded * 1.0; }},
      {"bounced", [](const auto& run) { return run.bounced * 1.0; }},
      {"refused_at_receiver",
       [](const auto& run) { return run.refused_at_receiver * 1.0; }},
      {"reversals", [](const auto& run) { return run.reversals * 1.0; }},
      {"relief_seconds", [](const auto& run) { return run.relief_seconds; }},
      {"shifted_far", [](const auto& run) { return run.shifted_far; }},
      {"home_demand_left",
       [](const auto& run) { return run.home_demand_left; }},
      {"spread", [](const auto& run) { return run.mean_utilisation_spread; }}};
  return measures;
}

class ShiftScenarios : public ::testing::TestWithParam<Scenario> {};

// The comments in shifts.yaml give the cause and the symptom of each scenario,
// beside the bounds on the figures of the fixed seeds.
TEST_P(ShiftScenarios, KeepsEveryLimitAndItsFigures) {
  const Scenario& scenario = GetParam();
  const PolicyFactory make_policy = [](const ports::Clock& clock) {
    return std::make_unique<PlannerPolicy>(clock);
  };

  std::vector<Outcome> outcomes;
  for (const std::uint64_t seed : kSeeds) {
    outcomes.push_back(ShiftLoop(scenario, make_policy, seed).Run());
    EXPECT_EQ(outcomes.back().peak_over_cap, 0.0);
    EXPECT_EQ(outcomes.back().over_capacity, 0U);
    EXPECT_EQ(outcomes.back().peak_over_step, 0.0);
  }

  std::ostringstream figures;
  for (const Measure& measure : Measures()) {
    double value = 0.0;
    for (const Outcome& outcome : outcomes) {
      value += measure.value(outcome) / static_cast<double>(outcomes.size());
    }

    figures << " " << measure.name << "=" << value;
    const auto bound = scenario.expect.find(measure.name);
    if (bound == scenario.expect.end()) {
      continue;
    }

    EXPECT_GE(value, bound->second.first) << measure.name;
    EXPECT_LE(value, bound->second.second) << measure.name;
  }
  RecordProperty("figures", figures.str());
  std::cout << "figures:" << figures.str() << "\n";
}

INSTANTIATE_TEST_SUITE_P(Files,
                         ShiftScenarios,
                         ::testing::ValuesIn(AllScenarios()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace medlarcroft::steering::scenario
