#include "adapters/emulation/deployment_schema.h"

#include <array>

#include "adapters/process/text_rules.h"

namespace medlarcroft::adapters {

namespace {

using emulation::EmulatedDeployment;
using emulation::EmulatedFault;
using emulation::EmulatedRegion;
using emulation::EmulatedRequestClass;
using emulation::EmulatedService;
using emulation::EmulatedTargets;

constexpr SettingRange kAnyDuration{0, 86'400'000};
constexpr SettingRange kAnyCount{0, 1'000'000};
constexpr double kMaxValue = 1e6;
constexpr std::array<std::string_view, 2> kRequestKinds = {"idempotent",
                                                           "non-idempotent"};
constexpr std::array<std::string_view, 15> kFaultTypes = {"slow",
                                                          "lost-answers",
                                                          "gone",
                                                          "more-callers",
                                                          "cut-hosts",
                                                          "crashing-request",
                                                          "rate-limit",
                                                          "rest",
                                                          "leaving",
                                                          "cut-off-hosts",
                                                          "restarting-hosts",
                                                          "lost-host-list",
                                                          "crash",
                                                          "rejecting",
                                                          "ended-hosts"};

SettingsSchema<EmulatedRegion> MakeRegionSchema() {
  SettingsSchema<EmulatedRegion> schema;
  schema
      .Text("name", &EmulatedRegion::name, kSettingName,
            {.description = "region", .is_required = true})
      .Integer("hosts", &EmulatedRegion::hosts, {1, 10'000},
               {.description = "number of hosts"})
      .Real("demand", &EmulatedRegion::demand_weight, {0, kMaxValue},
            {.description = "demand relative to other regions"})
      .Real("wave_phase", &EmulatedRegion::wave_phase, {0, 1},
            {.description =
                 "initial phase of the demand wave, fraction of its period"});
  return schema;
}

SettingsSchema<EmulatedTargets> MakeTargetsSchema() {
  SettingsSchema<EmulatedTargets> schema;
  schema
      .Text("region", &EmulatedTargets::region, kSettingName,
            {.description = "region of the targets", .is_required = true})
      .Integer("count", &EmulatedTargets::count, kAnyCount,
               {.description = "number of targets"});
  return schema;
}

SettingsSchema<EmulatedService> MakeServiceSchema() {
  SettingsSchema<EmulatedService> schema;
  schema
      .Text("name", &EmulatedService::name, kSettingName,
            {.description = "service", .is_required = true})
      .Integer("slots", &EmulatedService::slots, {1, 10'000},
               {.description = "concurrent requests per target"})
      .Integer("queue", &EmulatedService::queue, kAnyCount,
               {.description = "queue limit per target"})
      .Integer("remembered_objects", &EmulatedService::cached_objects,
               kAnyCount,
               {.description = "capacity of a target's object cache"})
      .DurationText("cold", &EmulatedService::cold_time, kAnyDuration,
                    {.description = "time that a target is cold after a start"})
      .Real("cold_per_second", &EmulatedService::cold_requests_per_second,
            {0, kMaxValue},
            {.description = "requests that a cold target bears, of all hosts"})
      .Real("uneven_by", &EmulatedService::speed_variation, {0, 0.95},
            {.description =
                 "relative variation of service times between targets"})
      .List("targets", &EmulatedService::targets, MakeTargetsSchema(),
            {.description = "targets by region"});
  return schema;
}

SettingsSchema<EmulatedRequestClass> MakeRequestClassSchema() {
  SettingsSchema<EmulatedRequestClass> schema;
  schema
      .Text("name", &EmulatedRequestClass::name, kSettingName,
            {.description = "class of requests", .is_required = true})
      .Text("service", &EmulatedRequestClass::service, kSettingName,
            {.description = "service that handles the requests",
             .is_required = true})
      .Choice("kind", &EmulatedRequestClass::kind, kRequestKinds,
              {.description = "whether requests are idempotent"})
      .Real("requests_per_second", &EmulatedRequestClass::requests_per_second,
            {0, kMaxValue}, {.description = "mean rate of all regions"})
      .DurationText("work", &EmulatedRequestClass::work, kAnyDuration,
                    {.description = "mean service time, uncached"})
      .Real("work_spread", &EmulatedRequestClass::work_spread, {0, 10},
            {.description = "coefficient of variation of service times"})
      .Real("warm_work", &EmulatedRequestClass::warm_work_factor, {0, 1},
            {.description = "ratio of cached to uncached service time"})
      .DurationText(
          "objective", &EmulatedRequestClass::objective, kAnyDuration,
          {.description =
               "latency objective, within which a response earns full credit"})
      .DurationText("timeout", &EmulatedRequestClass::timeout, kAnyDuration,
                    {.description = "timeout of the route"})
      .DurationText(
          "deadline", &EmulatedRequestClass::deadline, kAnyDuration,
          {.description = "deadline of the caller, including its retries"})
      .Integer("max_attempts", &EmulatedRequestClass::max_attempts, {1, 100},
               {.description = "maximum number of targets tried per request"})
      .Integer("objects", &EmulatedRequestClass::objects, {1, 1'000'000},
               {.description = "number of distinct objects per region"})
      .Real("worth", &EmulatedRequestClass::credit, {0, kMaxValue},
            {.description = "credit of a response within the objective"})
      .Real("worth_late", &EmulatedRequestClass::late_credit, {0, kMaxValue},
            {.description = "credit of a later response"})
      .Integer("returns", &EmulatedRequestClass::caller_retries, {0, 100},
               {.description = "maximum number of retries by the caller"});
  return schema;
}

SettingsSchema<EmulatedFault> MakeFaultSchema() {
  SettingsSchema<EmulatedFault> schema;
  schema
      .Choice("trouble", &EmulatedFault::type, kFaultTypes,
              {.description = "type of the fault"})
      .Text("service", &EmulatedFault::service, kSettingName,
            {.description = "affected service; unset: all"})
      .Real("part", &EmulatedFault::fraction, {0, 1},
            {.description =
                 "affected fraction of the service's targets or of the hosts"})
      .Real("strength", &EmulatedFault::strength, {0, 1000},
            {.description = "slowdown factor, fraction of responses lost or "
                            "requests rejected, "
                            "demand factor, requests per second, seconds of "
                            "rest or until a connection is refused, or "
                            "restarts per second"})
      .DurationText("from", &EmulatedFault::from, kAnyDuration,
                    {.description = "time from the start of the run"})
      .DurationText("until", &EmulatedFault::until, kAnyDuration,
                    {.description = "time from the start of the run"});
  return schema;
}

SettingsSchema<EmulatedDeployment> MakeSchema() {
  SettingsSchema<EmulatedDeployment> schema;
  schema
      .List("regions", &EmulatedDeployment::regions, MakeRegionSchema(),
            {.description = "regions", .is_required = true})
      .List("services", &EmulatedDeployment::services, MakeServiceSchema(),
            {.description = "services", .is_required = true})
      .List("kinds", &EmulatedDeployment::request_classes,
            MakeRequestClassSchema(),
            {.description = "classes of requests", .is_required = true})
      .List("faults", &EmulatedDeployment::faults, MakeFaultSchema(),
            {.description = "injected faults"})
      .DurationText("between_regions",
                    &EmulatedDeployment::inter_region_latency, kAnyDuration,
                    {.description = "latency between regions, one way"})
      .DurationText("to_callers", &EmulatedDeployment::caller_latency,
                    kAnyDuration, {.description = "one way"})
      .Real("wave_swing", &EmulatedDeployment::wave_amplitude, {0, 1},
            {.description = "amplitude of the demand over its mean"})
      .DurationText("wave_period", &EmulatedDeployment::wave_period,
                    {1, 86'400'000},
                    {.description = "period of the demand wave"})
      .DurationText("length", &EmulatedDeployment::duration, kAnyDuration,
                    {.description = "duration of arrivals"})
      .DurationText("window", &EmulatedDeployment::window, {1, 86'400'000},
                    {.description = "length of the windows, of which the two "
                                    "worst have a weight in the score"});
  return schema;
}

}  // namespace

const SettingsSchema<EmulatedDeployment>& EmulatedDeploymentSchema() {
  static const SettingsSchema<EmulatedDeployment> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
