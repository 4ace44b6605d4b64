#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "scenarios/simulator.h"

namespace medlarcroft::scenarios {
namespace {

std::filesystem::path ScenarioFolder() {
  return std::filesystem::path(MEDLARCROFT_SOURCE_DIR) / "tests/scenarios";
}

std::vector<std::string> ScenarioNames() {
  std::vector<std::string> names;
  for (const auto& file :
       std::filesystem::directory_iterator(ScenarioFolder())) {
    if (file.path().extension() == ".yaml") {
      names.push_back(file.path().stem());
    }
  }
  std::ranges::sort(names);
  return names;
}

std::vector<std::string> ReadLines(const std::filesystem::path& file) {
  std::vector<std::string> lines;
  std::ifstream in(file);
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

void ExpectInvariants(const RunFigures& figures) {
  EXPECT_EQ(figures.peak_over_slots, 0U);
  EXPECT_EQ(figures.double_runs, 0U);
  EXPECT_EQ(figures.false_not_run, 0U);
  EXPECT_EQ(figures.new_work_after_drain, 0U);
  EXPECT_EQ(figures.unanswered, 0U);
}

void ExpectFairShares(const Scenario& scenario, const ServiceFigures& service) {
  double weights = 0;
  for (const BrandDemand& brand : scenario.brands)
    weights += brand.weight;
  for (const BrandDemand& brand : scenario.brands) {
    const auto arrived = service.arrived_by_brand.find(brand.name);
    const auto in_time = service.in_time_by_brand.find(brand.name);
    if (arrived == service.arrived_by_brand.end())
      continue;
    const double fair = std::min(static_cast<double>(arrived->second),
                                 service.capacity * brand.weight / weights);
    const double got = in_time == service.in_time_by_brand.end()
                           ? 0.0
                           : static_cast<double>(in_time->second);
    EXPECT_GE(got, scenario.goals.brand_share_min * fair) << brand.name;
  }
}

void ExpectGoals(const Scenario& scenario, const RunFigures& figures) {
  for (const ServiceFigures& service : figures.services) {
    SCOPED_TRACE(service.service);
    EXPECT_GE(service.GoodputRatio(), scenario.goals.goodput_ratio_min);
    EXPECT_LE(service.LateShare(), scenario.goals.late_share_max);
    EXPECT_LE(
        ToSeconds(service.Quantile(0.99)),
        ToSeconds(service.deadline) * scenario.goals.p99_over_deadline_max);
    ExpectFairShares(scenario, service);
  }
}

/// Every run satisfies the invariants, the variant "default" meets the
/// scenario's goals, and all figures equal the recorded ones to the last digit.
/// With MEDLARCROFT_RECORD set, the record is rewritten: review the difference
/// before it is committed.
class ScenarioTest : public ::testing::TestWithParam<std::string> {};

void RunAll(const Scenario& scenario, std::vector<std::string>& lines) {
  for (const std::string& name : scenario.deployments) {
    const Deployment deployment =
        LoadDeployment(ScenarioFolder() / "deployments" / (name + ".yaml"));
    for (const Variant& variant : scenario.variants) {
      if (!variant.IsFor(name))
        continue;
      SCOPED_TRACE(name + " " + variant.name);
      const RunFigures figures = Simulator(scenario, variant, deployment).Run();
      ExpectInvariants(figures);
      if (variant.name == "default")
        ExpectGoals(scenario, figures);
      const auto more = ToLines(name + " " + variant.name, figures);
      lines.insert(lines.end(), more.begin(), more.end());
    }
  }
}

TEST_P(ScenarioTest, KeepsInvariantsGoalsAndFigures) {
  Scenario scenario = LoadScenario(ScenarioFolder() / (GetParam() + ".yaml"));
  std::vector<std::string> lines;
  for (std::uint64_t run = 0; run < scenario.repeats; ++run, ++scenario.seed) {
    RunAll(scenario, lines);
  }

  const std::filesystem::path record =
      ScenarioFolder() / "figures" / (GetParam() + ".txt");
  if (std::getenv("MEDLARCROFT_RECORD") != nullptr) {
    std::ofstream out(record);
    for (const std::string& line : lines)
      out << line << '\n';
  }
  EXPECT_EQ(lines, ReadLines(record));
}

INSTANTIATE_TEST_SUITE_P(Scenarios,
                         ScenarioTest,
                         ::testing::ValuesIn(ScenarioNames()),
                         [](const auto& info) {
                           std::string name = info.param;
                           std::ranges::replace(name, '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace medlarcroft::scenarios
