#include "adapters/process/node_settings.h"

namespace medlarcroft::adapters {

namespace {

constexpr SettingRange kAnyTime{1, 86'400'000};

SettingsSchema<DomainRegion> MakeDomainSchema() {
  SettingsSchema<DomainRegion> schema;
  schema
      .Text("domain", &DomainRegion::domain, kSettingName,
            {.description = "failure domain", .is_required = true})
      .Text("region", &DomainRegion::region, kSettingName,
            {.description = "region that it lies in", .is_required = true});
  return schema;
}

SettingsSchema<NodeBounds> MakeBoundsSchema() {
  SettingsSchema<NodeBounds> schema;
  schema
      .Real("attempt_ratio", &NodeBounds::attempt_ratio, {0, 10},
            {.description = "further sends for each request of a service, from "
                            "all hosts together"})
      .DurationText("attempt_window", &NodeBounds::attempt_window, kAnyTime,
                    {.description = "window of that bound"})
      .Integer("attempt_extra", &NodeBounds::attempt_extra, {0, 1'000'000},
               {.description = "further sends on top in each window, from all "
                               "hosts together"})
      .Real("cold_over", &NodeBounds::cold_over, {0, 100},
            {.description = "what a cold target may get, over its own rate"})
      .Integer("cold_extra", &NodeBounds::cold_extra, {0, 1'000'000},
               {.description = "requests a second on top of that"})
      .Real("shift_most", &NodeBounds::shift_most, {0, 1},
            {.description = "part of a region's requests that may change the "
                            "region in which they run, in two seconds"})
      .DurationText("stop_limit", &NodeBounds::stop_limit, kAnyTime,
                    {.description = "longest duration of a planned stop"})
      .DurationText(
          "lookup_time_to_live", &NodeBounds::lookup_time_to_live, kAnyTime,
          {.description = "longest time that callers keep a look-up's "
                          "answer"})
      .DurationText(
          "in_touch_after", &NodeBounds::in_touch_after, kAnyTime,
          {.description = "time without trouble of the store and the host "
                          "after which the host must know what the store has "
                          "acknowledged"})
      .DurationText(
          "target_left_within", &NodeBounds::target_left_within, kAnyTime,
          {.description = "longest time from the store's word that a target "
                          "leaves to the last request that may reach it"});
  return schema;
}

void AddListeners(SettingsSchema<NodeSettings>& schema) {
  schema
      .Text("caller_listen", &NodeSettings::caller_listen, kAddressText,
            {.description = "listener for callers' requests",
             .is_required = true})
      .Text("readiness_listen", &NodeSettings::readiness_listen, kAddressText,
            {.description = "listener that tells whether the host is ready",
             .is_required = true})
      .Text("lookup_listen", &NodeSettings::lookup_listen, kAddressText,
            {.description = "listener for look-ups", .is_required = true})
      .Text("metrics_listen", &NodeSettings::metrics_listen, kAddressText,
            {.description = "listener for /metrics; none: no metrics"})
      .Text("peer_listen", &NodeSettings::peer_listen, kAddressText,
            {.description = "UDP address for other hosts", .is_required = true})
      .Text("store_address", &NodeSettings::store_address, kAddressText,
            {.description = "the platform's metadata store",
             .is_required = true});
}

SettingsSchema<NodeSettings> MakeSchema() {
  SettingsSchema<NodeSettings> schema;
  AddHostFields(schema);
  schema
      .Text("region", &NodeSettings::region, kSettingName,
            {.description = "region of this host", .is_required = true})
      .List("domains", &NodeSettings::domains, MakeDomainSchema(),
            {.description = "all failure domains and their regions"});
  AddListeners(schema);
  schema
      .Integer("memory_mb", &NodeSettings::memory_mb, {16, 1'000'000},
               {.description = "memory that the process may use; requests' "
                               "bodies take a quarter of it at most"})
      .Real("link_mbps", &NodeSettings::link_mbps, {0.001, 1e6},
            {.description = "what the host's link carries, Mbit/s: hosts with "
                            "more read the store for their region more often"})
      .Group("bounds", &NodeSettings::bounds, MakeBoundsSchema(),
             {.description = "bounds that all hosts keep together"})
      .Group("telemetry", &NodeSettings::telemetry, MakeTelemetrySchema(),
             {.description = "logs and traces", .is_reloadable = true});
  return schema;
}

}  // namespace

const SettingsSchema<NodeSettings>& NodeSchema() {
  static const SettingsSchema<NodeSettings> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
