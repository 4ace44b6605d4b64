#ifndef MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_SCENARIO_H_
#define MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_SCENARIO_H_

#include <yaml-cpp/yaml.h>

#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "medlarcroft/catalogue/catalogue_view.h"

namespace medlarcroft::steering::scenario {

/// @brief A deployment as defined by the scenario files.
struct Deployment {
  std::vector<catalogue::FailureDomainEntry> domains;
  std::vector<catalogue::LinkEntry> links;
  std::vector<catalogue::ServiceEntry> services;
  std::map<ServiceName, double> slots;  ///< In each failure domain.
  std::map<ServiceName, Duration>
      late_after;  ///< Later responses count as late.
  int hosts = 2;   ///< Entry hosts per failure domain.
};

enum class EventKind {
  kDemand,  ///< Demand of `service` in `subject` is `value` times its capacity.
  kDrain,   ///< The operator drains `subject`.
  kUndrain,
  kLose,  ///< All hosts and targets of `subject` fail.
  kRestore,
  kMute,  ///< Measurements of `subject` no longer reach the others.
  kUnmute,
  kIsolate,  ///< The region `subject` is partitioned from the others.
  kRejoin,
};

struct Event {
  Duration at = Duration::zero();
  EventKind kind = EventKind::kDemand;
  std::string subject;  ///< A failure domain or region.
  std::string service;  ///< All services if empty.
  double value = 0.0;
};

struct Scenario {
  std::string name;
  Deployment deployment;
  Duration length = Duration::zero();
  double demand = 0.5;  ///< Fraction of the capacity, in every failure domain.
  Duration lag = std::chrono::seconds(1);  ///< Delay of measurements of others.
  double cold_factor =
      1.0;  ///< Service time factor of shifted work with a cold cache.
  std::vector<Event> events;
  /// Lower and upper bound of each figure that is checked.
  std::map<std::string, std::pair<double, double>> expect;

  friend void PrintTo(const Scenario& scenario, std::ostream* out) {
    *out << scenario.name;
  }
};

namespace detail {

inline Duration Milliseconds(const YAML::Node& node) {
  return FromSeconds(node.as<double>() / 1000.0);
}

inline void ReadPlaces(const YAML::Node& node, Deployment& deployment) {
  for (const auto& region : node["regions"]) {
    for (const auto& domain : region.second) {
      deployment.domains.push_back(
          {.failure_domain = FailureDomainName(domain.as<std::string>()),
           .region = RegionName(region.first.as<std::string>())});
    }
  }

  for (const auto& from : deployment.domains) {
    for (const auto& to : deployment.domains) {
      if (from.failure_domain == to.failure_domain) {
        continue;
      }

      const bool is_near = from.region == to.region;
      const YAML::Node link = node[is_near ? "near_link" : "far_link"];
      deployment.links.push_back(
          {.from = from.failure_domain,
           .to = to.failure_domain,
           .latency = Milliseconds(link["latency_ms"]),
           .capacity = link["capacity"].as<double>(),
           .shift_step = link["step"].as<double>(),
           .shift_window = FromSeconds(link["window_s"].as<double>())});
    }
  }
}

inline void ReadServices(const YAML::Node& node, Deployment& deployment) {
  for (const auto& item : node["services"]) {
    const ServiceName name(item.first.as<std::string>());
    const YAML::Node& body = item.second;
    const YAML::Node weights = body["weights"];
    deployment.services.push_back(
        {.service = name,
         .request_class = {.queue_limit = Milliseconds(body["queue_limit_ms"]),
                           .expected_service_time =
                               Milliseconds(body["service_time_ms"])},
         .weights = {.latency = weights[0].as<double>(),
                     .headroom = weights[1].as<double>(),
                     .drain_time = weights[2].as<double>()},
         .reserved_headroom = body["reserved_headroom"].as<double>()});
    deployment.slots[name] = body["slots"].as<double>();
    deployment.late_after[name] = Milliseconds(body["late_after_ms"]);
  }
}

inline EventKind KindOf(const std::string& word) {
  static const std::map<std::string, EventKind> kinds = {
      {"demand", EventKind::kDemand},   {"drain", EventKind::kDrain},
      {"undrain", EventKind::kUndrain}, {"lose", EventKind::kLose},
      {"restore", EventKind::kRestore}, {"mute", EventKind::kMute},
      {"unmute", EventKind::kUnmute},   {"isolate", EventKind::kIsolate},
      {"rejoin", EventKind::kRejoin}};
  return kinds.at(word);
}

}  // namespace detail

/// @brief Reads the deployments that scenarios refer to by name.
inline std::map<std::string, Deployment> ReadDeployments(
    const std::string& path) {
  std::map<std::string, Deployment> deployments;
  for (const auto& item : YAML::LoadFile(path)) {
    Deployment deployment;
    deployment.hosts = item.second["hosts"].as<int>();
    detail::ReadPlaces(item.second, deployment);
    detail::ReadServices(item.second, deployment);
    deployments.emplace(item.first.as<std::string>(), std::move(deployment));
  }
  return deployments;
}

/// @brief Reads a file of scenarios; an entry with several deployments gives
/// one scenario for each.
inline std::vector<Scenario> ReadScenarios(
    const std::string& path,
    const std::map<std::string, Deployment>& deployments) {
  std::vector<Scenario> scenarios;
  for (const auto& node : YAML::LoadFile(path)) {
    for (const auto& run : node["runs"]) {
      const auto deployment = run.first.as<std::string>();
      Scenario scenario{
          .name = node["name"].as<std::string>() + "_" + deployment,
          .deployment = deployments.at(deployment),
          .length = FromSeconds(node["seconds"].as<double>()),
          .demand = node["demand"].as<double>(0.5),
          .lag = FromSeconds(node["lag_s"].as<double>(1.0)),
          .cold_factor = node["cold_factor"].as<double>(1.0)};
      for (const auto& bound : run.second["expect"]) {
        scenario.expect[bound.first.as<std::string>()] = {
            bound.second[0].as<double>(), bound.second[1].as<double>()};
      }

      const auto places = run.second["places"];
      for (const auto& event : node["events"]) {
        const auto place = event["place"].as<std::string>();
        scenario.events.push_back(
            {.at = FromSeconds(event["at"].as<double>()),
             .kind = detail::KindOf(event["kind"].as<std::string>()),
             .subject = places[place].as<std::string>(),
             .service = event["service"].as<std::string>(""),
             .value = event["value"].as<double>(0.0)});
      }
      scenarios.push_back(std::move(scenario));
    }
  }
  return scenarios;
}

}  // namespace medlarcroft::steering::scenario

#endif  // MEDLARCROFT_TESTS_SCENARIOS_STEERING_SHIFT_SCENARIO_H_
