#include "scenarios/scenario.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <string_view>

namespace medlarcroft::scenarios {
namespace {

template <typename Value>
Value Get(const YAML::Node& node, const char* key, Value fallback) {
  return node[key] ? node[key].as<Value>() : fallback;
}

Duration Seconds(const YAML::Node& node, const char* key, double fallback) {
  return FromSeconds(Get(node, key, fallback));
}

Duration Milliseconds(const YAML::Node& node, const char* key) {
  return FromSeconds(node[key].as<double>() / 1000.0);
}

/// Maps a node's text to a value; throws an error with its location in the file
/// if the text is not a key of `values`.
template <typename Value>
Value ParseEnum(const YAML::Node& node,
                const std::map<std::string, Value, std::less<>>& values) {
  const auto found = values.find(node.as<std::string>());
  if (found == values.end()) {
    throw YAML::RepresentationException(node.Mark(), "unknown value");
  }
  return found->second;
}

decision::SchedulerOptions Options(const YAML::Node& node) {
  using decision::PlacementKind;
  static const std::map<std::string, PlacementKind, std::less<>> placements{
      {"two-choices", PlacementKind::kPowerOfTwoChoices},
      {"optimistic", PlacementKind::kOptimisticPowerOfTwoChoices},
      {"random", PlacementKind::kRandom},
      {"round-robin", PlacementKind::kRoundRobin},
      {"least-reported", PlacementKind::kLeastReportedLoad}};

  decision::SchedulerOptions options;
  if (node["placement"])
    options.placement = ParseEnum(node["placement"], placements);
  if (!Get(node, "bounded", true)) {
    options.queue_bound = decision::QueueBound::kUnbounded;
  }
  options.is_fair_between_brands = Get(node, "fair", true);
  options.is_hedging_enabled = Get(node, "hedging", true);
  options.is_ejection_enabled = Get(node, "ejection", true);
  options.cold_ramp = Seconds(node, "cold_ramp_s", 10.0);
  options.is_retry_after_paced = Get(node, "paced", true);
  options.retries.limit.ratio =
      Get(node, "retry_ratio", options.retries.limit.ratio);
  return options;
}

Fault ReadFault(const YAML::Node& node) {
  static const std::map<std::string, FaultKind, std::less<>> kinds{
      {"slow", FaultKind::kSlow},
      {"lying", FaultKind::kLying},
      {"no-reports", FaultKind::kNoReports},
      {"leaving", FaultKind::kLeaving},
      {"leaving-quietly", FaultKind::kLeavingQuietly},
      {"cold-start", FaultKind::kColdStart},
      {"silent", FaultKind::kSilent},
      {"failing", FaultKind::kFailing},
      {"failing-late", FaultKind::kFailingLate},
      {"stalling", FaultKind::kStalling}};
  return {.kind = ParseEnum(node["kind"], kinds),
          .from = Seconds(node, "from_s", 0),
          .until = Seconds(node, "until_s", 1e6),
          .targets = Get<std::size_t>(node, "targets", 1),
          .factor = Get(node, "factor", 1.0)};
}

Goals ReadGoals(const YAML::Node& node) {
  if (!node)
    return {};
  const Goals defaults;
  return {
      .goodput_ratio_min = Get(node, "goodput_ratio_min", 0.0),
      .late_share_max = Get(node, "late_share_max", defaults.late_share_max),
      .p99_over_deadline_max =
          Get(node, "p99_over_deadline_max", defaults.p99_over_deadline_max),
      .brand_share_min = Get(node, "brand_share_min", 0.0)};
}

ServiceModel ReadService(const YAML::Node& node) {
  ServiceModel model;
  const auto name = node["service"].as<std::string>();
  model.config.service = ServiceName(name);
  catalogue::RequestClass& request_class = model.config.request_class;
  request_class.name = node["class"].as<std::string>();
  request_class.deadline = Milliseconds(node, "deadline_ms");
  request_class.queue_limit = Milliseconds(node, "queue_limit_ms");
  request_class.may_hedge = Get(node, "may_hedge", false);
  if (!Get(node, "idempotent", true)) {
    request_class.key_mode = catalogue::KeyMode::kLocal;
  }
  model.service_time = Milliseconds(node, "service_time_ms");
  request_class.expected_service_time = model.service_time;
  model.target_prefix = Get(node, "targets_of", name);
  model.target_count = node["targets"].as<std::size_t>();
  model.slots = node["slots"].as<std::uint32_t>();
  model.contention = Get(node, "contention", 0.5);
  model.demand = Get(node, "demand", 1.0);
  return model;
}

}  // namespace

double ServiceModel::Capacity() const {
  const double when_full =
      1.0 + contention * (slots - 1) / static_cast<double>(slots);
  return static_cast<double>(target_count) * slots * demand /
         (ToSeconds(service_time) * when_full);
}

Scenario LoadScenario(const std::filesystem::path& file) {
  const YAML::Node node = YAML::LoadFile(file);
  Scenario scenario{.name = file.stem(),
                    .seed = Get<std::uint64_t>(node, "seed", 1),
                    .repeats = Get<std::uint64_t>(node, "repeats", 1),
                    .length = Seconds(node, "length_s", 20),
                    .warm_up = Seconds(node, "warm_up_s", 2)};
  for (const YAML::Node& step : node["load"]) {
    scenario.load.push_back({.from = Seconds(step, "from_s", 0),
                             .times = step["times"].as<double>()});
  }
  for (const YAML::Node& brand : node["brands"]) {
    scenario.brands.push_back({.name = brand["name"].as<std::string>(),
                               .demand = Get(brand, "demand", 1.0),
                               .weight = Get(brand, "weight", 1.0)});
  }
  if (scenario.brands.empty()) {
    scenario.brands = {{.name = "north"}, {.name = "south"}};
  }
  for (const YAML::Node& fault : node["faults"]) {
    scenario.faults.push_back(ReadFault(fault));
  }
  for (const YAML::Node& deployment : node["deployments"]) {
    scenario.deployments.push_back(deployment.as<std::string>());
  }
  scenario.has_returning_callers = Get(node, "callers_return", false);
  scenario.variants.push_back({.name = "default"});
  for (const YAML::Node& variant : node["variants"]) {
    scenario.variants.push_back(
        {.name = variant["name"].as<std::string>(),
         .options = Options(variant),
         .deployments =
             Get(variant, "deployments", std::vector<std::string>{})});
  }
  scenario.goals = ReadGoals(node["goals"]);
  return scenario;
}

Deployment LoadDeployment(const std::filesystem::path& file) {
  const YAML::Node node = YAML::LoadFile(file);
  Deployment deployment{.name = file.stem(),
                        .hosts = Get<std::size_t>(node, "hosts", 1)};
  for (const YAML::Node& service : node["services"]) {
    deployment.services.push_back(ReadService(service));
  }
  return deployment;
}

}  // namespace medlarcroft::scenarios
