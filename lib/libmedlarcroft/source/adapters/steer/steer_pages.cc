#include "adapters/steer/steer_pages.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/http/json_response.h"

namespace medlarcroft::adapters {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 3> kPhaseNames = {"starting", "ready",
                                                         "leaving"};
constexpr std::array<std::string_view, 5> kLivenessNames = {
    "alive", "suspect", "dead", "leaving", "unknown"};

std::string_view NameOf(membership::HostPhase phase) {
  return kPhaseNames.at(static_cast<std::size_t>(phase));
}

std::string_view NameOf(membership::Liveness liveness) {
  return kLivenessNames.at(static_cast<std::size_t>(liveness));
}

Json MemberToJson(const membership::Member& member) {
  return {{"host", member.state.host.Value()},
          {"failure_domain", member.state.failure_domain.Value()},
          {"state", NameOf(member.liveness)},
          {"phase", NameOf(member.state.phase)},
          {"revision", member.state.catalogue_revision},
          {"age_ms", ToMilliseconds(member.state.age)},
          {"listed_live", member.is_listed_live}};
}

Json LoadToJson(const steering::ServiceLoad& load) {
  return {{"service", load.service.Value()},
          {"demand_per_second", load.demand_per_second},
          {"outstanding", load.outstanding},
          {"queued", load.queued},
          {"usable_slots", load.usable_slots},
          {"refused_per_second", load.refused_per_second},
          {"shifted_in_per_second", load.shifted_in_per_second}};
}

Json ShiftToJson(const steering::PlannedShift& shift) {
  const steering::ShiftExplanation& why = shift.why;
  return {{"from", shift.from.Value()},
          {"to", shift.to.Value()},
          {"rate", shift.rate},
          {"fraction", shift.fraction},
          {"rule", steering::ToString(why.rule)},
          {"bound", steering::ToString(why.bound)},
          {"source_demand", why.source_demand},
          {"source_capacity", why.source_capacity},
          {"source_cost", why.source_cost},
          {"receiver_spare", why.receiver_spare},
          {"receiver_cost", why.receiver_cost},
          {"receiver_age_ms", ToMilliseconds(why.receiver_age)},
          {"link_latency_ms", ToSeconds(why.link_latency) * 1000}};
}

}  // namespace

const Page<SteerPages> SteerPages::kPages[] = {
    {"/healthz", &SteerPages::Health},   {"/readyz", &SteerPages::Readiness},
    {"/v1/status", &SteerPages::Status}, {"/v1/explain", &SteerPages::Explain},
    {"/metrics", &SteerPages::Metrics},
};

std::optional<HttpResponse> SteerPages::Find(const HttpRequest& request) const {
  return ServePage<SteerPages>(*this, kPages, request);
}

HttpResponse SteerPages::Health(const HttpRequest& /*request*/) const {
  return MakeJsonResponse(200, {{"status", "alive"}});
}

std::vector<std::string> SteerPages::ReasonsNotReady() const {
  std::vector<std::string> reasons;
  const catalogue::ReplicaStatus replica = dependencies_.replica.Status();
  for (const catalogue::NotReadyReason reason : replica.not_ready_reasons) {
    reasons.emplace_back(reason ==
                                 catalogue::NotReadyReason::kNoRevisionReceived
                             ? "catalogue: neither a peer nor the platform "
                               "has answered"
                             : "catalogue: behind the highest revision shown");
  }
  if (replica.is_ready && replica.revision == 0) {
    reasons.emplace_back("catalogue: empty");
  }
  if (!dependencies_.core.IsEntryConnected()) {
    reasons.emplace_back("entryd: no report from this host's entryd");
  }
  if (dependencies_.core.IsLeaving()) {
    reasons.emplace_back("stopping");
  }
  return reasons;
}

HttpResponse SteerPages::Readiness(const HttpRequest& /*request*/) const {
  const std::vector<std::string> reasons = ReasonsNotReady();
  return MakeJsonResponse(
      reasons.empty() ? 200 : 503,
      {{"ready", reasons.empty()}, {"not_ready_because", reasons}});
}

HttpResponse SteerPages::Status(const HttpRequest& /*request*/) const {
  const membership::HostState self = dependencies_.core.Self();
  const catalogue::ReplicaStatus replica = dependencies_.replica.Status();
  const catalogue::PlatformReachability platform =
      dependencies_.budget.Reachability();
  const catalogue::PlatformCallCounts counts = dependencies_.budget.Counts();
  const std::vector<std::string> reasons = ReasonsNotReady();

  Json body = {{"host", self.host.Value()},
               {"failure_domain", self.failure_domain.Value()},
               {"incarnation", self.number.incarnation},
               {"phase", NameOf(self.phase)},
               {"ready", reasons.empty()},
               {"not_ready_because", reasons}};
  body["catalogue"] = {
      {"revision", replica.revision},
      {"highest_seen", replica.highest_seen},
      {"in_force_ms_ago", ToMilliseconds(replica.time_in_force)}};
  body["platform"] = {{"reachable", platform.is_reachable},
                      {"since_ms", ToMilliseconds(platform.since)},
                      {"reads", counts.reads},
                      {"writes", counts.writes},
                      {"refused_reads", counts.refused_reads},
                      {"refused_writes", counts.refused_writes},
                      {"failures", counts.failures}};
  body["seats"] = Json::object();
  for (const auto& [domain, seat] : self.seats) {
    body["seats"][domain.Value()] = seat;
  }
  body["members"] = Json::array();
  for (const membership::Member& member : dependencies_.core.Members()) {
    body["members"].push_back(MemberToJson(member));
  }

  Json available = Json::array();
  Json unavailable = Json::array();
  (replica.revision > 0 ? available : unavailable).push_back("look-ups");
  (dependencies_.core.IsEntryConnected() ? available : unavailable)
      .push_back("requests");
  (platform.is_reachable ? available : unavailable)
      .push_back("catalogue changes");
  (platform.is_reachable ? available : unavailable).push_back("seat changes");
  (platform.is_reachable ? available : unavailable).push_back("durable keys");
  body["serves"] = available;
  body["cannot"] = unavailable;
  return MakeJsonResponse(200, body);
}

HttpResponse SteerPages::Explain(const HttpRequest& request) const {
  const ServiceName service(request.FindQuery("service").value_or(""));
  const catalogue::SharedCatalogueView view = dependencies_.core.Catalogue();
  const catalogue::ServiceEntry* entry = view->FindService(service);
  if (entry == nullptr) {
    return MakeJsonResponse(404, {{"code", "unknown-service"}});
  }

  Json body = {{"service", service.Value()},
               {"revision", view->Revision()},
               {"class", entry->request_class.name},
               {"weights",
                {{"latency", entry->weights.latency},
                 {"headroom", entry->weights.headroom},
                 {"drain_time", entry->weights.drain_time}}}};
  body["domains"] = Json::array();
  for (const steering::DomainLoad& domain : dependencies_.core.DomainLoads()) {
    Json item = {{"failure_domain", domain.failure_domain.Value()},
                 {"live_hosts", domain.live_hosts},
                 {"age_ms", ToMilliseconds(domain.age)}};
    for (const steering::ServiceLoad& load : domain.loads) {
      if (load.service == service) {
        item["load"] = LoadToJson(load);
      }
    }
    body["domains"].push_back(item);
  }
  body["shifts"] = Json::array();
  for (const steering::PlannedShift& shift : dependencies_.core.Plan().shifts) {
    if (shift.service == service) {
      body["shifts"].push_back(ShiftToJson(shift));
    }
  }
  body["targets"] = Json::array();
  for (const catalogue::TargetSpec& target : entry->targets) {
    const membership::MergedTargetStatus seen =
        dependencies_.core.MergedStatusOf(target.name);
    body["targets"].push_back(
        {{"target", target.name.Value()},
         {"failure_domain", target.failure_domain.Value()},
         {"slots", target.slots},
         {"leaving", seen.is_leaving},
         {"observers", seen.observers},
         {"ejected_by", seen.ejected_by},
         {"outstanding", seen.outstanding},
         {"median_latency_ms", ToSeconds(seen.median_latency) * 1000}});
  }
  return MakeJsonResponse(200, body);
}

HttpResponse SteerPages::Metrics(const HttpRequest& /*request*/) const {
  return MakeMetricsResponse(dependencies_.metrics());
}

}  // namespace medlarcroft::adapters
