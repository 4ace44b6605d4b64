#include "adapters/process/node_settings.h"

namespace medlarcroft::adapters {

namespace {

constexpr SettingRange kUpToOneDay{1, 86'400'000};
// A shorter one would leave hosts no time to hold their calls to the store.
constexpr SettingRange kHeartbeat{500, 86'400'000};

SettingsSchema<DomainRegion> MakeDomainSchema() {
  SettingsSchema<DomainRegion> schema;
  schema
      .Text("domain", &DomainRegion::domain, kSettingName,
            {.description = "name of a failure domain", .is_required = true})
      .Text(
          "region", &DomainRegion::region, kSettingName,
          {.description = "region of the failure domain", .is_required = true});
  return schema;
}

SettingsSchema<NodeBounds> MakeBoundsSchema() {
  SettingsSchema<NodeBounds> schema;
  schema
      .Real("attempt_ratio", &NodeBounds::attempt_ratio, {0, 10},
            {.description = "additional attempts per request of a service, "
                            "over all hosts together"})
      .DurationText(
          "attempt_window", &NodeBounds::attempt_window, kUpToOneDay,
          {.description = "window over which additional attempts are counted"})
      .Integer(
          "attempt_extra", &NodeBounds::attempt_extra, {0, 1'000'000},
          {.description = "additional attempts allowed per window on top of "
                          "`attempt_ratio`, over all hosts together"})
      .DurationText(
          "quota_window", &NodeBounds::quota_window, kUpToOneDay,
          {.description = "window over which the requests of a client account "
                          "are counted"})
      .Real("quota_overage", &NodeBounds::quota_overage, {0, 10},
            {.description = "excess over a client account's quota allowed per "
                            "window, as a fraction of it"})
      .Integer("quota_slack", &NodeBounds::quota_slack, {0, 1'000'000},
               {.description = "requests allowed per window on top of "
                               "`quota_overage`, over all hosts together"})
      .Real("cold_over", &NodeBounds::cold_over, {0, 100},
            {.description =
                 "request rate allowed to a cold target, as a multiple "
                 "of its configured rate"})
      .Integer(
          "cold_extra", &NodeBounds::cold_extra, {0, 1'000'000},
          {.description = "requests per second allowed on top of `cold_over`"})
      .Real("shift_most", &NodeBounds::shift_most, {0, 1},
            {.description = "maximum fraction of a region's requests that may "
                            "move to another region within two seconds"})
      .DurationText("stop_limit", &NodeBounds::stop_limit, kUpToOneDay,
                    {.description = "maximum duration of a graceful shutdown"})
      .DurationText(
          "lookup_time_to_live", &NodeBounds::lookup_time_to_live, kUpToOneDay,
          {.description = "maximum time that callers may cache a lookup "
                          "answer"})
      .DurationText(
          "in_touch_after", &NodeBounds::in_touch_after, kUpToOneDay,
          {.description =
               "time without errors of the store and the host "
               "after which the host must have received everything that the "
               "store has acknowledged"})
      .DurationText(
          "target_heartbeat", &NodeBounds::target_heartbeat, kHeartbeat,
          {.description = "interval at which targets renew their entries in "
                          "the store; an entry expires after three without a "
                          "renewal"})
      .DurationText(
          "target_left_within", &NodeBounds::target_left_within, kUpToOneDay,
          {.description = "maximum time from the store's notice that a target "
                          "is leaving to the last request that may reach it"});
  return schema;
}

void AddListeners(SettingsSchema<NodeSettings>& schema) {
  schema
      .Text("caller_listen", &NodeSettings::caller_listen, kAddressText,
            {.description = "listen address for callers' requests",
             .is_required = true})
      .Text("readiness_listen", &NodeSettings::readiness_listen, kAddressText,
            {.description = "listen address of the readiness check",
             .is_required = true})
      .Text("lookup_listen", &NodeSettings::lookup_listen, kAddressText,
            {.description = "listen address for lookups", .is_required = true})
      .Text("metrics_listen", &NodeSettings::metrics_listen, kAddressText,
            {.description = "listen address of /metrics; none: no metrics"})
      .Text("peer_listen", &NodeSettings::peer_listen, kAddressText,
            {.description = "UDP address for messages from other hosts",
             .is_required = true})
      .Text("store_address", &NodeSettings::store_address, kAddressText,
            {.description = "address of the platform's metadata store",
             .is_required = true});
}

SettingsSchema<NodeSettings> MakeSchema() {
  SettingsSchema<NodeSettings> schema;
  AddHostFields(schema);
  schema
      .Text("region", &NodeSettings::region, kSettingName,
            {.description = "region of this host", .is_required = true})
      .List("domains", &NodeSettings::domains, MakeDomainSchema(),
            {.description = "all failure domains, with their regions"});
  AddListeners(schema);
  schema
      .Integer(
          "memory_mb", &NodeSettings::memory_mb, {16, 1'000'000},
          {.description = "memory limit of the process, MB; requests, "
                          "answers and relays hold at most five eighths of it "
                          "together, targets' answers of unknown length a "
                          "sixteenth"})
      .Integer("max_descriptors", &NodeSettings::max_descriptors,
               {0, 10'000'000},
               {.description = "limit of open descriptors of the process, of "
                               "which clients' connections take at most half; "
                               "0: the system's limit"})
      .Real("link_mbps", &NodeSettings::link_mbps, {0.001, 1e6},
            {.description =
                 "bandwidth of the host's network link, Mbit/s; hosts with "
                 "more bandwidth are more often chosen to read the store for "
                 "their region"})
      .Group("bounds", &NodeSettings::bounds, MakeBoundsSchema(),
             {.description = "limits that apply to all hosts together"})
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
