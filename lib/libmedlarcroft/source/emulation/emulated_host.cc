#include "medlarcroft/emulation/emulated_host.h"

#include <utility>

namespace medlarcroft::emulation {

namespace {

using request_path::RequestPath;

// Each region is one failure domain: what differs within one is not emulated.
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
  for (const EmulatedKind& kind : deployment.kinds) {
    configuration.routes.push_back(
        {.name = kind.name,
         .host = std::string(EmulatedSite()),
         .path_prefix = PathOf(kind),
         .kind = kind.kind,
         .timeout = kind.timeout,
         .latency_objective = kind.objective,
         .max_attempts = kind.max_attempts,
         .weighted_services = {{.service = ServiceName(kind.service)}},
         .is_sticky = true});
  }
  for (const EmulatedService& service : deployment.services) {
    configuration.services.push_back({.name = ServiceName(service.name)});
  }
  return configuration;
}

std::uint32_t HostsOf(const EmulatedDeployment& deployment) {
  std::uint32_t hosts = 0;
  for (const EmulatedRegion& region : deployment.regions) {
    hosts += region.hosts;
  }
  return hosts;
}

}  // namespace

std::string_view EmulatedSite() {
  return "callers.example";
}

std::string PathOf(const EmulatedKind& kind) {
  return "/" + kind.name + "/";
}

EmulatedHost::EmulatedHost(const EmulatedDeployment& deployment,
                           const std::string& region,
                           RequestPath::Options options,
                           std::uint64_t seed)
    : region_(region),
      random_(seed),
      targets_(RegionsOf(deployment), *this),
      path_(InRegion(std::move(options), region), routes_, targets_, random_) {
  routes_.Apply(ConfigurationOf(deployment));
  path_.SetHostCount(HostsOf(deployment));
  path_.Crashes().Observe(this);
  path_.Limits().Observe(this);
}

void EmulatedHost::OnPublish(const request_path::CrashReport& report) {
  if (sinks_.on_crash) {
    sinks_.on_crash(report);
  }
}

void EmulatedHost::OnPublish(const request_path::LimitReport& report) {
  if (sinks_.on_limit) {
    sinks_.on_limit(report);
  }
}

void EmulatedHost::Register(std::span<const request_path::TargetRecord> targets,
                            MonotonicTime now) {
  targets_.ReplaceAll(targets, {}, std::nullopt, now);
}

}  // namespace medlarcroft::emulation
