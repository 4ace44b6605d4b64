#include "medlarcroft/emulation/experiment.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace medlarcroft::emulation {

namespace {

using request_path::CandidateSelector;
using request_path::Placement;
using request_path::PlacementOptions;
using request_path::RequestPath;

class RandomTarget final : public CandidateSelector {
 public:
  std::size_t Choose(std::span<const Placement> candidates) const override {
    return random_.NextBelow(candidates.size());
  }

 private:
  mutable SeededRandom random_{1};
};

class RoundRobin final : public CandidateSelector {
 public:
  std::size_t Choose(std::span<const Placement> candidates) const override {
    return next_++ % candidates.size();
  }

 private:
  mutable std::size_t next_ = 0;
};

class LeastOutstanding final : public CandidateSelector {
 public:
  std::size_t Choose(std::span<const Placement> candidates) const override {
    const auto least = std::ranges::min_element(
        candidates, {}, [](const Placement& candidate) {
          return candidate.target->OwnOutstanding();
        });
    return static_cast<std::size_t>(least - candidates.begin());
  }
};

const RandomTarget kRandomTarget;
const RoundRobin kRoundRobin;
const LeastOutstanding kLeastOutstanding;

Policy WithRule(std::string name, const CandidateSelector& rule) {
  return {.name = std::move(name), .options = {.path = {.rule = &rule}}};
}

/// @brief An option of the production policy that can be varied by name.
struct VariedOption {
  std::string_view name;
  void (*set)(EmulationOptions& options, double value);
};

template <double PlacementOptions::*Member>
void SetPlacement(EmulationOptions& options, double value) {
  options.path.placement.*Member = value;
}

template <double RequestPath::Options::*Member>
void SetPath(EmulationOptions& options, double value) {
  options.path.*Member = value;
}

constexpr std::array kOptions = {
    VariedOption{"warm-when-first",
                 &SetPlacement<&PlacementOptions::warm_when_first>},
    VariedOption{"warm-when-second",
                 &SetPlacement<&PlacementOptions::warm_when_second>},
    VariedOption{"warm-otherwise",
                 &SetPlacement<&PlacementOptions::warm_otherwise>},
    VariedOption{"warm-when-sent",
                 &SetPlacement<&PlacementOptions::warm_when_sent>},
    VariedOption{"slots-believed-free",
                 &SetPlacement<&PlacementOptions::queueing_threshold>},
    VariedOption{"region-load-part",
                 &SetPlacement<&PlacementOptions::region_load_weight>},
    VariedOption{"slot-price",
                 &SetPlacement<&PlacementOptions::slot_cost_weight>},
    VariedOption{"longest-wait",
                 &SetPath<&RequestPath::Options::max_queue_wait>},
    VariedOption{"region-move",
                 [](EmulationOptions& options, double value) {
                   options.path.region_plan.max_shift_per_second = value;
                 }},
    VariedOption{"plans-regions",
                 [](EmulationOptions& options, double value) {
                   options.path.uses_region_plan = value != 0;
                 }},
    VariedOption{"tells-loads",
                 [](EmulationOptions& options, double value) {
                   options.shares_loads = value != 0;
                 }},
    VariedOption{"tells-placed", [](EmulationOptions& options, double value) {
                   options.shares_placements = value != 0;
                 }}};

std::string Format(double value, int digits) {
  std::array<char, 32> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  return std::string(text.data(), static_cast<std::size_t>(length));
}

// Dimensions of the plot, in pixels.
constexpr int kRowHeight = 28;
constexpr int kBarMargin = 12;
constexpr int kNameWidth = 220;
constexpr int kBarWidth = 400;
constexpr int kValueWidth = 120;

/// @brief A column of the table: one metric of a run.
struct Column {
  std::string_view name;
  double (*read)(const EmulationMetrics& metrics);
  int digits = 3;
};

constexpr std::array kColumns = {
    Column{"whole",
           [](const EmulationMetrics& run) { return run.OverallCredit(); }},
    Column{"worst region",
           [](const EmulationMetrics& run) { return run.WorstRegion(); }},
    Column{"worst windows",
           [](const EmulationMetrics& run) { return run.WorstWindows(); }},
    Column{"worst class",
           [](const EmulationMetrics& run) { return run.WorstClass(); }},
    Column{"served",
           [](const EmulationMetrics& run) { return run.ServedShare(); }},
    Column{"refused",
           [](const EmulationMetrics& run) { return run.RefusedShare(); }},
    Column{"warm", [](const EmulationMetrics& run) { return run.WarmShare(); }},
    Column{"away",
           [](const EmulationMetrics& run) { return run.CrossRegionShare(); }},
    Column{"largest shift",
           [](const EmulationMetrics& run) { return run.LargestShift(); }},
    Column{"extra attempts",
           [](const EmulationMetrics& run) { return run.ExtraAttemptShare(); }},
    Column{"p50 ms",
           [](const EmulationMetrics& run) {
             return ToSeconds(run.Quantile(0.5)) * 1000;
           },
           0},
    Column{"p99 ms",
           [](const EmulationMetrics& run) {
             return ToSeconds(run.Quantile(0.99)) * 1000;
           },
           0}};

double Mean(const PolicyResult& result,
            double (*read)(const EmulationMetrics&)) {
  double sum = 0;
  for (const EmulationMetrics& run : result.runs) {
    sum += read(run);
  }
  return sum /
         static_cast<double>(std::max<std::size_t>(1, result.runs.size()));
}

double ScoreOf(const EmulationMetrics& run) {
  return run.Score();
}

}  // namespace

std::vector<Policy> KnownPolicies() {
  const PlacementOptions without_objects{.warm_when_first = 0,
                                         .warm_when_second = 0,
                                         .warm_otherwise = 0,
                                         .warm_when_sent = 0,
                                         .warm_when_unused = 0};
  return {{.name = "product"},
          WithRule("random", kRandomTarget),
          WithRule("least-outstanding", kLeastOutstanding),
          WithRule("round-robin", kRoundRobin),
          {.name = "no-affinity",
           .options = {.path = {.placement = without_objects}}},
          {.name = "unbounded-queue",
           .options = {.path = {.max_queue_wait = 1e3}}}};
}

std::vector<std::string_view> OptionNames() {
  std::vector<std::string_view> names;
  names.reserve(kOptions.size());
  for (const VariedOption& option : kOptions) {
    names.push_back(option.name);
  }
  return names;
}

std::optional<std::vector<Policy>> VaryOption(std::string_view option,
                                              std::span<const double> values) {
  const auto found = std::ranges::find(kOptions, option, &VariedOption::name);
  if (found == kOptions.end()) {
    return std::nullopt;
  }
  std::vector<Policy> policies;
  for (const double value : values) {
    Policy policy{.name = std::string(option) + " " + Format(value, 3)};
    found->set(policy.options, value);
    policies.push_back(std::move(policy));
  }
  return policies;
}

double PolicyResult::MeanScore() const {
  return Mean(*this, &ScoreOf);
}

double PolicyResult::ScoreDeviation() const {
  if (runs.size() < 2) {
    return 0;
  }
  const double mean = MeanScore();
  double squares = 0;
  for (const EmulationMetrics& run : runs) {
    squares += (run.Score() - mean) * (run.Score() - mean);
  }
  return std::sqrt(squares / static_cast<double>(runs.size() - 1));
}

std::vector<PolicyResult> RunExperiment(const EmulatedDeployment& deployment,
                                        std::span<const Policy> policies,
                                        std::uint32_t seeds) {
  std::vector<PolicyResult> results;
  for (const Policy& policy : policies) {
    PolicyResult result{.name = policy.name};
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
      EmulationOptions options = policy.options;
      options.seed = seed;
      result.runs.push_back(Emulation(deployment, options).Run());
    }
    results.push_back(std::move(result));
  }
  return results;
}

std::string FormatTable(std::span<const PolicyResult> results) {
  std::string table = "| policy | score | deviation |";
  std::string rule = "|---|---|---|";
  for (const Column& column : kColumns) {
    table += " " + std::string(column.name) + " |";
    rule += "---|";
  }
  table += "\n" + rule + "\n";
  for (const PolicyResult& result : results) {
    table += "| " + result.name + " | " + Format(result.MeanScore(), 3) +
             " | " + Format(result.ScoreDeviation(), 3) + " |";
    for (const Column& column : kColumns) {
      table += " " + Format(Mean(result, column.read), column.digits) + " |";
    }
    table += "\n";
  }
  return table;
}

std::string FormatWindows(std::span<const PolicyResult> results) {
  std::string table;
  for (const PolicyResult& result : results) {
    std::vector<double> sums;
    for (const EmulationMetrics& run : result.runs) {
      const std::vector<double> shares = run.ByWindow();
      sums.resize(std::max(sums.size(), shares.size()));
      for (std::size_t i = 0; i < shares.size(); ++i) {
        sums[i] += shares[i] / static_cast<double>(result.runs.size());
      }
    }
    table += "| " + result.name + " |";
    for (const double sum : sums) {
      table.append(" ").append(Format(sum, 2)).append(" |");
    }
    table += "\n";
  }
  return table;
}

std::string FormatPlot(std::span<const PolicyResult> results) {
  const int height = kRowHeight * static_cast<int>(results.size());
  std::ostringstream plot;
  plot << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")"
       << kNameWidth + kBarWidth + kValueWidth << R"(" height=")" << height
       << R"(" font-family="sans-serif" font-size="13">)"
       << "\n";
  int top = 0;
  for (const PolicyResult& result : results) {
    const double bar = std::clamp(result.MeanScore(), 0.0, 1.0) * kBarWidth;
    const int baseline = top + kRowHeight - kBarMargin;
    plot << R"(<text x="4" y=")" << baseline << R"(">)" << result.name
         << R"(</text><rect x=")" << kNameWidth << R"(" y=")"
         << top + kBarMargin / 2 << R"(" width=")" << bar << R"(" height=")"
         << kRowHeight - kBarMargin << R"(" fill="#4878a8"/><text x=")"
         << kNameWidth + bar + kBarMargin / 2.0 << R"(" y=")" << baseline
         << R"(">)" << Format(result.MeanScore(), 3) << " ± "
         << Format(result.ScoreDeviation(), 3) << "</text>\n";
    top += kRowHeight;
  }
  plot << "</svg>\n";
  return plot.str();
}

}  // namespace medlarcroft::emulation
