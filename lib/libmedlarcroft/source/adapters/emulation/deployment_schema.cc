#include "adapters/emulation/deployment_schema.h"

#include <array>

#include "adapters/process/text_rules.h"

namespace medlarcroft::adapters {

namespace {

using emulation::EmulatedDeployment;
using emulation::EmulatedFault;
using emulation::EmulatedKind;
using emulation::EmulatedRegion;
using emulation::EmulatedService;
using emulation::EmulatedTargets;

constexpr SettingRange kAnyTime{0, 86'400'000};
constexpr SettingRange kAnyCount{0, 1'000'000};
constexpr double kMost = 1e6;
constexpr std::array<std::string_view, 2> kKinds = {"idempotent",
                                                    "non-idempotent"};
constexpr std::array<std::string_view, 7> kTroubles = {
    "slow",      "lost-answers",     "gone",      "more-callers",
    "cut-hosts", "crashing-request", "rate-limit"};

SettingsSchema<EmulatedRegion> MakeRegionSchema() {
  SettingsSchema<EmulatedRegion> schema;
  schema
      .Text("name", &EmulatedRegion::name, kSettingName,
            {.description = "region", .is_required = true})
      .Integer("hosts", &EmulatedRegion::hosts, {1, 10'000},
               {.description = "hosts in it"})
      .Real("demand", &EmulatedRegion::demand, {0, kMost},
            {.description = "its part of all demand, over the others'"})
      .Real("wave_phase", &EmulatedRegion::wave_phase, {0, 1},
            {.description = "where in the wave its demand begins"});
  return schema;
}

SettingsSchema<EmulatedTargets> MakeTargetsSchema() {
  SettingsSchema<EmulatedTargets> schema;
  schema
      .Text("region", &EmulatedTargets::region, kSettingName,
            {.description = "where they are", .is_required = true})
      .Integer("count", &EmulatedTargets::count, kAnyCount,
               {.description = "how many"});
  return schema;
}

SettingsSchema<EmulatedService> MakeServiceSchema() {
  SettingsSchema<EmulatedService> schema;
  schema
      .Text("name", &EmulatedService::name, kSettingName,
            {.description = "service", .is_required = true})
      .Integer("slots", &EmulatedService::slots, {1, 10'000},
               {.description = "requests that a target works on at once"})
      .Integer("queue", &EmulatedService::queue, kAnyCount,
               {.description = "requests that wait at a target"})
      .Integer("remembered_objects", &EmulatedService::remembered_objects,
               kAnyCount,
               {.description = "objects that a target works faster on"})
      .Real("uneven_by", &EmulatedService::uneven_by, {0, 0.95},
            {.description = "by how much targets differ in speed"})
      .List("targets", &EmulatedService::targets, MakeTargetsSchema(),
            {.description = "its targets"});
  return schema;
}

SettingsSchema<EmulatedKind> MakeKindSchema() {
  SettingsSchema<EmulatedKind> schema;
  schema
      .Text("name", &EmulatedKind::name, kSettingName,
            {.description = "kind of request", .is_required = true})
      .Text("service", &EmulatedKind::service, kSettingName,
            {.description = "service that serves it", .is_required = true})
      .Choice("kind", &EmulatedKind::kind, kKinds,
              {.description = "what may be repeated"})
      .Real("requests_per_second", &EmulatedKind::requests_per_second,
            {0, kMost}, {.description = "from all regions"})
      .DurationText("work", &EmulatedKind::work, kAnyTime,
                    {.description = "mean, without the object"})
      .Real("work_spread", &EmulatedKind::work_spread, {0, 10},
            {.description = "standard deviation over the mean"})
      .Real("warm_work", &EmulatedKind::warm_work, {0, 1},
            {.description = "with the object, over that without"})
      .DurationText("objective", &EmulatedKind::objective, kAnyTime,
                    {.description = "in which an answer is worth most"})
      .DurationText("timeout", &EmulatedKind::timeout, kAnyTime,
                    {.description = "of the route"})
      .DurationText("deadline", &EmulatedKind::deadline, kAnyTime,
                    {.description = "of the caller, its returns included"})
      .Integer("max_attempts", &EmulatedKind::max_attempts, {1, 100},
               {.description = "targets that one request may be sent to"})
      .Integer("objects", &EmulatedKind::objects, {1, 1'000'000},
               {.description = "objects of each region's callers"})
      .Real("worth", &EmulatedKind::worth, {0, kMost},
            {.description = "of an answer within the objective"})
      .Real("worth_late", &EmulatedKind::worth_late, {0, kMost},
            {.description = "of a later one"})
      .Integer("returns", &EmulatedKind::returns, {0, 100},
               {.description = "how often a caller comes back"});
  return schema;
}

SettingsSchema<EmulatedFault> MakeFaultSchema() {
  SettingsSchema<EmulatedFault> schema;
  schema
      .Choice("trouble", &EmulatedFault::trouble, kTroubles,
              {.description = "what goes wrong"})
      .Text("service", &EmulatedFault::service, kSettingName,
            {.description = "whose targets; none: all services'"})
      .Real("part", &EmulatedFault::part, {0, 1},
            {.description = "of the service's targets, or of the hosts"})
      .Real("strength", &EmulatedFault::strength, {0, 1000},
            {.description = "times as slow, part of answers lost, times as "
                            "many callers, or requests a second"})
      .DurationText("from", &EmulatedFault::from, kAnyTime,
                    {.description = "after the first callers"})
      .DurationText("until", &EmulatedFault::until, kAnyTime,
                    {.description = "after the first callers"});
  return schema;
}

SettingsSchema<EmulatedDeployment> MakeSchema() {
  SettingsSchema<EmulatedDeployment> schema;
  schema
      .List("regions", &EmulatedDeployment::regions, MakeRegionSchema(),
            {.description = "regions", .is_required = true})
      .List("services", &EmulatedDeployment::services, MakeServiceSchema(),
            {.description = "services", .is_required = true})
      .List("kinds", &EmulatedDeployment::kinds, MakeKindSchema(),
            {.description = "kinds of requests", .is_required = true})
      .List("faults", &EmulatedDeployment::faults, MakeFaultSchema(),
            {.description = "what goes wrong, and when"})
      .DurationText("between_regions", &EmulatedDeployment::between_regions,
                    kAnyTime, {.description = "one way"})
      .DurationText("to_callers", &EmulatedDeployment::to_callers, kAnyTime,
                    {.description = "one way"})
      .Real("wave_swing", &EmulatedDeployment::wave_swing, {0, 1},
            {.description = "part of its mean by which demand moves"})
      .DurationText("wave_period", &EmulatedDeployment::wave_period,
                    {1, 86'400'000}, {.description = "of the wave"})
      .DurationText("length", &EmulatedDeployment::length, kAnyTime,
                    {.description = "how long callers come"})
      .DurationText("window", &EmulatedDeployment::window, {1, 86'400'000},
                    {.description = "of which the two worst count"});
  return schema;
}

}  // namespace

const SettingsSchema<EmulatedDeployment>& EmulatedDeploymentSchema() {
  static const SettingsSchema<EmulatedDeployment> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
