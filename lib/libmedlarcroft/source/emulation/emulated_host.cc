#include "medlarcroft/emulation/emulated_host.h"

#include <utility>

namespace medlarcroft::emulation {

namespace {

using request_path::RequestPath;

// Each region is one failure domain, as differences between the domains of a
// region are not emulated.
request_path::DomainRegions RegionsOf(const EmulatedDeployment& deployment) {
  request_path::DomainRegions regions;
  for (const EmulatedRegion& region : deployment.regions) {
    regions[FailureDomainName(region.name)] = RegionName(region.name);
  }
  return regions;
}

RequestPath::Options InRegion(RequestPath::Options options,
                              const std::string& region) {
  options.own_region = RegionName(region);
  return options;
}

routing::RoutingConfiguration ConfigurationOf(
    const EmulatedDeployment& deployment) {
  routing::RoutingConfiguration configuration{.version = 1};
  for (const EmulatedRequestClass& request_class : deployment.request_classes) {
    configuration.routes.push_back(
        {.name = request_class.name,
         .host = std::string(EmulatedHttpHost()),
         .path_prefix = PathOf(request_class),
         .kind = request_class.kind,
         .timeout = request_class.timeout,
         .latency_objective = request_class.objective,
         .max_attempts = request_class.max_attempts,
         .weighted_services = {{.service = ServiceName(request_class.service)}},
         .is_sticky = true});
  }
  for (const EmulatedService& service : deployment.services) {
    configuration.services.push_back(
        {.name = ServiceName(service.name),
         .cold_time = service.cold_time,
         .cold_requests_per_second = service.cold_requests_per_second});
  }
  return configuration;
}

// Hosts whose rows were written count each other after this time.
constexpr Duration kInTouchAfter = std::chrono::seconds(4);

}  // namespace

std::string_view EmulatedHttpHost() {
  return "callers.example";
}

std::string PathOf(const EmulatedRequestClass& request_class) {
  return "/" + request_class.name + "/";
}

EmulatedHost::EmulatedHost(const EmulatedDeployment& deployment,
                           const std::string& region,
                           RequestPath::Options options,
                           std::uint64_t seed,
                           MonotonicTime started_at)
    : region_(region),
      random_(seed),
      targets_(RegionsOf(deployment), *this),
      path_(InRegion(std::move(options), region), routes_, targets_, random_),
      helpers_(random_),
      sharing_({.in_touch_after = kInTouchAfter, .started_at = started_at}) {
  routes_.Apply(ConfigurationOf(deployment));
  for (const EmulatedService& service : deployment.services) {
    targets_.SetColdTime(ServiceName(service.name), service.cold_time);
  }
  path_.SetShare(sharing_.Share());
  path_.Crashes().Observe(this);
  path_.Limits().Observe(this);
}

void EmulatedHost::OnPublish(const request_path::CrashReport& report) {
  if (sinks_.on_crash) {
    sinks_.on_crash(report);
  }
}

void EmulatedHost::OnHeld(request_path::RequestFingerprint /*request*/,
                          Duration delay) {
  if (sinks_.on_held) {
    sinks_.on_held(delay);
  }
}

void EmulatedHost::OnPublish(const request_path::LimitReport& report) {
  if (sinks_.on_limit) {
    sinks_.on_limit(report);
  }
}

void EmulatedHost::UpdateHostList(const membership::HostListView& view,
                                  MonotonicTime now) {
  sharing_.Update(view, now);
  path_.SetShare(sharing_.Share());
}

void EmulatedHost::Register(std::span<const request_path::TargetRecord> targets,
                            MonotonicTime now) {
  targets_.ReplaceAll(targets, {}, std::nullopt, now);
}

}  // namespace medlarcroft::emulation
