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

/// @brief One way to decide: what a run's row is called, and its options.
struct Policy {
  std::string name;
  EmulationOptions options;
};

/// @return the product's own policy, and plainer ones to compare it with:
/// random, least-outstanding, round-robin, no-affinity, unbounded-queue.
[[nodiscard]] std::vector<Policy> KnownPolicies();

/// @return the names of the options that `VaryOption` knows.
[[nodiscard]] std::vector<std::string_view> OptionNames();
/// @return the product's policy with one option changed, for each value;
/// nullopt when there is no such option.
[[nodiscard]] std::optional<std::vector<Policy>> VaryOption(
    std::string_view option,
    std::span<const double> values);

/// @brief What a policy brought, over several seeds.
struct PolicyResult {
  std::string name;
  std::vector<EmulationFigures> runs;

  [[nodiscard]] double MeanWorth() const;
  /// @return the standard deviation of a run's worth.
  [[nodiscard]] double Spread() const;
};

/// @brief Runs each policy with the seeds 1 to `seeds`.
[[nodiscard]] std::vector<PolicyResult> RunExperiment(
    const EmulatedDeployment& deployment,
    std::span<const Policy> policies,
    std::uint32_t seeds);

/// @return a table in Markdown, a row a policy, each figure a mean of the runs.
[[nodiscard]] std::string FormatTable(std::span<const PolicyResult> results);
/// @return a table in Markdown: the credit of each window, a row a policy.
[[nodiscard]] std::string FormatWindows(std::span<const PolicyResult> results);
/// @return an SVG picture: worth by policy, with the spread of its runs.
[[nodiscard]] std::string FormatPlot(std::span<const PolicyResult> results);

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EXPERIMENT_H_
