#ifndef MEDLARCROFT_EMULATION_EXPERIMENT_H_
#define MEDLARCROFT_EMULATION_EXPERIMENT_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/emulation/emulation.h"

namespace medlarcroft::emulation {

/// @brief A named set of options to compare with others.
struct Policy {
  std::string name;
  EmulationOptions options;
};

/// @return the production policy and simpler baselines: random,
/// least-outstanding, round-robin, no-affinity, unbounded-queue.
[[nodiscard]] std::vector<Policy> KnownPolicies();

/// @return the names of the options that `VaryOption` supports.
[[nodiscard]] std::vector<std::string_view> OptionNames();
/// @return one policy for each value: the production policy with that option
/// set to the value. nullopt when there is no such option.
[[nodiscard]] std::optional<std::vector<Policy>> VaryOption(
    std::string_view option,
    std::span<const double> values);

/// @brief Results of a policy for several seeds.
struct PolicyResult {
  std::string name;
  std::vector<EmulationMetrics> runs;

  [[nodiscard]] double MeanScore() const;
  /// @return the sample standard deviation of the score of the runs.
  [[nodiscard]] double ScoreDeviation() const;
};

/// @brief Runs each policy with the seeds 1 to `seeds`.
[[nodiscard]] std::vector<PolicyResult> RunExperiment(
    const EmulatedDeployment& deployment,
    std::span<const Policy> policies,
    std::uint32_t seeds);

/// @return a Markdown table with one row for each policy and the means over its
/// runs.
[[nodiscard]] std::string FormatTable(std::span<const PolicyResult> results);
/// @return a Markdown table with one row for each policy and the credit share
/// of each window.
[[nodiscard]] std::string FormatWindows(std::span<const PolicyResult> results);
/// @return an SVG bar chart of the mean score of each policy, with its standard
/// deviation.
[[nodiscard]] std::string FormatPlot(std::span<const PolicyResult> results);

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EXPERIMENT_H_
