#ifndef MEDLARCROFT_TESTS_SCENARIOS_SCENARIO_H_
#define MEDLARCROFT_TESTS_SCENARIOS_SCENARIO_H_

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "medlarcroft/decision/service_config.h"

namespace medlarcroft::scenarios {

/// @brief One service of a deployment and the behaviour of its healthy targets.
struct ServiceModel {
  decision::ServiceConfig config;  ///< `targets` is left empty.
  std::string target_prefix;  ///< Services with the same prefix share targets.
  std::size_t target_count = 1;
  std::uint32_t slots = 1;
  Duration service_time{};
  /// Relative increase of the service time when all slots of a target are busy.
  double contention = 0.0;
  double demand = 1.0;  ///< Fraction of the targets' capacity for this service.

  /// @return requests per second that the targets complete with every slot
  /// busy.
  [[nodiscard]] double Capacity() const;
};

/// @brief The sizes of one deployment, from tests/scenarios/deployments.
struct Deployment {
  std::string name;
  std::size_t hosts = 1;  ///< Entry hosts, which share the slots.
  std::vector<ServiceModel> services;
};

/// @brief From `from` on, demand is `times` the capacity.
struct LoadStep {
  Duration from{};
  double times = 1.0;
};

/// @brief The demand of one brand, relative to the other brands.
struct BrandDemand {
  std::string name;
  double demand = 1.0;
  double weight = 1.0;
};

enum class FaultKind {
  kSlow,            ///< `factor` times the service time.
  kLying,           ///< Reports no load and is slower by `factor`.
  kNoReports,       ///< Sends no load reports.
  kLeaving,         ///< Refuses new work as "draining"; the snapshot lags 2 s.
  kLeavingQuietly,  ///< Keeps working; only the snapshot reports it, 2 s late.
  kColdStart,       ///< Absent before, then slower by `factor` for 40 requests.
  kSilent,          ///< Connections stop responding; new ones work after 1 s.
  kFailing,         ///< Responds with an error immediately.
  kFailingLate,     ///< Responds with an error after the whole service time.
  kStalling,        ///< One request in fifty takes `factor` times as long.
};

/// @brief A fault of the first `targets` targets of every service.
struct Fault {
  FaultKind kind = FaultKind::kSlow;
  Duration from{};
  Duration until{};
  std::size_t targets = 1;
  double factor = 1.0;
};

/// @brief One set of options to run the scenario with.
struct Variant {
  std::string name;
  decision::SchedulerOptions options;
  /// Deployments to run it with; all if empty.
  std::vector<std::string> deployments;

  [[nodiscard]] bool IsFor(const std::string& deployment) const {
    return deployments.empty() ||
           std::ranges::find(deployments, deployment) != deployments.end();
  }
};

/// @brief Bounds that the variant "default" must satisfy; the defaults allow
/// everything.
struct Goals {
  double goodput_ratio_min = 0.0;
  double late_share_max = 1.0;
  double p99_over_deadline_max = 1.0;
  /// Minimum fraction of its fair share that each brand gets.
  double brand_share_min = 0.0;
};

struct Scenario {
  std::string name;
  std::uint64_t seed = 1;
  std::uint64_t repeats = 1;  ///< Number of runs, each with the next seed.
  Duration length{};
  Duration warm_up{};
  std::vector<LoadStep> load;
  std::vector<BrandDemand> brands;
  std::vector<Fault> faults;
  std::vector<std::string> deployments;
  /// Whether refused callers retry, up to twice, after the time in the refusal.
  bool has_returning_callers = false;
  std::vector<Variant> variants;
  Goals goals;
};

/// @throws YAML::Exception with the location of the error, which ends the test.
[[nodiscard]] Scenario LoadScenario(const std::filesystem::path& file);
[[nodiscard]] Deployment LoadDeployment(const std::filesystem::path& file);

}  // namespace medlarcroft::scenarios

#endif  // MEDLARCROFT_TESTS_SCENARIOS_SCENARIO_H_
