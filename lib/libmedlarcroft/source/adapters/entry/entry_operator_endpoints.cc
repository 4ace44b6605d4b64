#include "adapters/entry/entry_operator_endpoints.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/entry/problem.h"
#include "adapters/http/json_response.h"

namespace medlarcroft::adapters {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> kStandingNames = {"none", "waiting",
                                                            "held", "doubtful"};

constexpr std::array<std::string_view, 8> kRuleNames = {
    "full-share", "ramping",      "probing",  "ejected",
    "leaving",    "lease-lapsed", "no-share", "resting"};

Json TargetToJson(const decision::TargetExplanation& target) {
  Json item = {{"target", target.target.Value()},
               {"rule", kRuleNames.at(static_cast<std::size_t>(target.rule))},
               {"slots", target.slots},
               {"share", target.share},
               {"usable", target.usable},
               {"outstanding", target.outstanding},
               {"relative_latency", target.relative_latency},
               {"failure_ratio", target.failure_ratio},
               {"score", target.score}};
  if (target.report_age) {
    item["report_age_ms"] = ToMilliseconds(*target.report_age);
  }
  return item;
}

Json BrandToJson(const decision::BrandExplanation& brand) {
  return {{"brand", brand.brand.Value()},
          {"weight", brand.weight},
          {"queued", brand.queued},
          {"predicted_wait_ms", ToMilliseconds(brand.predicted_wait)}};
}

bool HasAnyShare(const RoutingTable& routes) {
  for (const auto& [name, service] : routes.services) {
    for (const decision::TargetConfig& target : service.config.targets) {
      if (target.share > 0) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

const Page<EntryOperatorEndpoints> EntryOperatorEndpoints::kEndpoints[] = {
    {"/healthz", &EntryOperatorEndpoints::Health},
    {"/readyz", &EntryOperatorEndpoints::Readiness},
    {"/v1/status", &EntryOperatorEndpoints::Status},
    {"/v1/explain", &EntryOperatorEndpoints::Explain},
    {"/metrics", &EntryOperatorEndpoints::Metrics},
};

std::optional<HttpResponse> EntryOperatorEndpoints::Find(
    const HttpRequest& request) {
  return ServePage<EntryOperatorEndpoints>(*this, kEndpoints, request);
}

HttpResponse EntryOperatorEndpoints::Health(
    const HttpRequest& /*request*/) const {
  return MakeJsonResponse(200, {{"status", "alive"}});
}

std::vector<std::string> EntryOperatorEndpoints::ReasonsNotReady() const {
  std::vector<std::string> reasons;
  const SharedRoutingTable routes = dependencies_.engine.Routes();
  if (!routes) {
    reasons.emplace_back("routes: none received from steerd yet");
  } else if (!HasAnyShare(*routes)) {
    reasons.emplace_back(dependencies_.capacity.HasSeat()
                             ? "capacity: no slot may be used yet"
                             : "capacity: no seat held");
  }
  return reasons;
}

HttpResponse EntryOperatorEndpoints::Readiness(
    const HttpRequest& /*request*/) const {
  const std::vector<std::string> reasons = ReasonsNotReady();
  return MakeJsonResponse(
      reasons.empty() ? 200 : 503,
      {{"ready", reasons.empty()}, {"not_ready_because", reasons}});
}

HttpResponse EntryOperatorEndpoints::Status(
    const HttpRequest& /*request*/) const {
  const SharedRoutingTable routes = dependencies_.engine.Routes();
  const std::vector<std::string> reasons = ReasonsNotReady();
  Json body = {
      {"host", dependencies_.host.Value()},
      {"ready", reasons.empty()},
      {"not_ready_because", reasons},
      {"steerd_connected", dependencies_.routing_synchronizer.IsConnected()},
      {"snapshot", routes ? routes->number : 0},
      {"revision", routes ? routes->catalogue_revision : 0},
      {"in_flight", dependencies_.engine.InFlight()},
      {"ledger",
       {{"entries", dependencies_.keys.LedgerEntries()},
        {"running", dependencies_.keys.LedgerRunning()},
        {"bytes", dependencies_.keys.LedgerBytes()}}}};
  body["seats"] = Json::array();
  for (const capacity::SeatStatus& seat : dependencies_.capacity.Status()) {
    Json item = {
        {"failure_domain", seat.failure_domain.Value()},
        {"standing", kStandingNames.at(static_cast<std::size_t>(seat.state))}};
    if (seat.seat) {
      item["seat"] = *seat.seat;
    }
    body["seats"].push_back(item);
  }
  return MakeJsonResponse(200, body);
}

HttpResponse EntryOperatorEndpoints::Explain(const HttpRequest& request) const {
  const ServiceName service(request.FindQuery("service").value_or(""));
  const auto explanation = dependencies_.engine.Explain(service);
  if (!explanation) {
    return MakeProblem(ProblemCode::kUnknownService,
                       decision::RunState::kNotRun);
  }
  Json body = {
      {"service", service.Value()},
      {"would_refuse", explanation->would_refuse
                           ? Json(NameOf(*explanation->would_refuse))
                           : Json()},
      {"usable_slots", explanation->usable_slots},
      {"outstanding", explanation->outstanding},
      {"queued", explanation->queued},
      {"service_time_mean_ms",
       ToSeconds(explanation->service_time_mean) * 1000},
      {"service_time_p95_ms", ToSeconds(explanation->service_time_p95) * 1000},
      {"predicted_wait_ms", ToMilliseconds(explanation->predicted_wait)},
      {"wait_limit_ms", ToMilliseconds(explanation->wait_limit)},
      {"retry_tokens", explanation->retry_tokens},
      {"may_hedge_now", explanation->may_hedge_now}};
  body["targets"] = Json::array();
  for (const decision::TargetExplanation& target : explanation->targets) {
    body["targets"].push_back(TargetToJson(target));
  }
  body["brands"] = Json::array();
  for (const decision::BrandExplanation& brand : explanation->brands) {
    body["brands"].push_back(BrandToJson(brand));
  }
  return MakeJsonResponse(200, body);
}

HttpResponse EntryOperatorEndpoints::Metrics(
    const HttpRequest& /*request*/) const {
  return MakeMetricsResponse(dependencies_.metrics());
}

}  // namespace medlarcroft::adapters
