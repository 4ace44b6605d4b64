#include "adapters/entry/routing_synchronizer.h"

#include <memory>
#include <utility>

#include "adapters/peer/wire_conversion.h"

namespace medlarcroft::adapters {

namespace {

/// The call goes over loopback to a process that answers from memory; if it
/// takes longer, that process hangs.
constexpr Duration kCallTimeout = std::chrono::milliseconds(200);

wire::TargetObservation ToWire(
    const decision::TargetObservationReport& report) {
  wire::TargetObservation observation;
  observation.target = report.target.Value();
  observation.is_leaving = report.is_leaving;
  observation.is_ejected = report.is_ejected;
  observation.outstanding = static_cast<std::int32_t>(report.outstanding);
  observation.latency_ms = ToSeconds(report.latency) * 1000.0;
  return observation;
}

}  // namespace

RoutingSynchronizer::RoutingSynchronizer(const Options& options,
                                         const Dependencies& dependencies)
    : options_(options),
      dependencies_(dependencies),
      channel_(options.routing_address, kCallTimeout) {}

void RoutingSynchronizer::Synchronize() {
  const wire::EntryReport report = MakeReport();
  const auto reported = channel_.Invoke([&report](wire::RoutingClient& client) {
    wire::ReportAnswer answer;
    client.report(answer, report);
    return answer;
  });
  if (!IsOk(reported)) {
    is_connected_ = false;
    return;
  }
  wanted_local_keys_ = ValueOf(reported).wanted_local_keys;
  wanted_durable_keys_ = ValueOf(reported).wanted_durable_keys;

  const MonotonicTime requested_at = dependencies_.clock.Now();
  const auto answer = channel_.Invoke([this](wire::RoutingClient& client) {
    wire::RoutingSnapshot snapshot;
    client.snapshot(snapshot, snapshot_number_, 0);
    return snapshot;
  });
  is_connected_ = IsOk(answer);
  if (!is_connected_ || ValueOf(answer).number == 0) {
    return;
  }
  snapshot_number_ = ValueOf(answer).number;
  const RoutingTable routes = ToRoutingTable(ValueOf(answer), requested_at);
  dependencies_.capacity.ApplyPlan(routes.capacity);
  dependencies_.shifts.ApplyRoutes(routes, dependencies_.capacity.OwnRateShare(
                                               options_.failure_domain, 1.0));
  dependencies_.engine.ApplyRoutes(WithCurrentShares(routes));
}

void RoutingSynchronizer::RefreshShares() {
  // Usually nothing has changed. Copying all services ten times a second would
  // take most of the CPU time of an idle entryd.
  const SharedRoutingTable routes = dependencies_.engine.Routes();
  if (routes && HaveSharesChanged(*routes)) {
    dependencies_.engine.ApplyRoutes(WithCurrentShares(*routes));
  }
}

bool RoutingSynchronizer::HaveSharesChanged(const RoutingTable& routes) const {
  for (const auto& [name, service] : routes.services) {
    for (const decision::TargetConfig& target : service.config.targets) {
      if (target.share !=
          dependencies_.capacity.UsableSlotsOf(target.name).Total()) {
        return true;
      }
    }
  }
  return false;
}

SharedRoutingTable RoutingSynchronizer::WithCurrentShares(
    const RoutingTable& routes) const {
  auto shared = std::make_shared<RoutingTable>(routes);
  for (auto& [name, service] : shared->services) {
    for (decision::TargetConfig& target : service.config.targets) {
      target.share = dependencies_.capacity.UsableSlotsOf(target.name).Total();
    }
  }
  return shared;
}

std::vector<TargetName> RoutingSynchronizer::SaturatedTargets() const {
  std::vector<TargetName> saturated;
  const SharedRoutingTable routes = dependencies_.engine.Routes();
  if (!routes) {
    return saturated;
  }
  for (const ServiceLoad& load : dependencies_.engine.Loads()) {
    const ServiceRoute* service = routes->Find(load.service);
    const bool is_full = load.outstanding >= load.usable_slots;
    if (service == nullptr || (load.queued == 0 && !is_full) ||
        load.demand_per_second <= 0) {
      continue;
    }
    for (const decision::TargetConfig& target : service->config.targets) {
      if (!target.is_leaving) {
        saturated.push_back(target.name);
      }
    }
  }
  return saturated;
}

wire::EntryReport RoutingSynchronizer::MakeReport() {
  wire::EntryReport report;
  report.incarnation = static_cast<std::int64_t>(options_.incarnation);
  report.entry_address = options_.entry_address;
  report.share_address = options_.share_address;
  report.snapshot_number = snapshot_number_;
  report.is_leaving = is_leaving_;
  for (const ServiceLoad& load : dependencies_.engine.Loads()) {
    report.loads.push_back(ToWire(load));
  }
  for (const auto& observation : dependencies_.engine.Observations()) {
    report.observations.push_back(ToWire(observation));
  }
  for (const auto& [domain, seat] : dependencies_.capacity.Seats()) {
    report.seats[domain.Value()] = static_cast<std::int32_t>(seat);
  }
  for (const HostName& host : dependencies_.capacity.HostsToProbe()) {
    report.wants_called.push_back(host.Value());
  }
  const auto issue = [this](std::int32_t& wanted, idempotency::Mode mode,
                            std::vector<std::string>& keys) {
    for (; wanted > 0; --wanted) {
      keys.push_back(dependencies_.keys.Issue(mode));
    }
  };
  issue(wanted_local_keys_, idempotency::Mode::kLocal, report.local_keys);
  issue(wanted_durable_keys_, idempotency::Mode::kDurable, report.durable_keys);
  return report;
}

}  // namespace medlarcroft::adapters
