#include "adapters/process/steerd_settings.h"

namespace medlarcroft::adapters {

namespace {

SettingsSchema<OperatorSettings> MakeOperatorSchema() {
  SettingsSchema<OperatorSettings> schema;
  schema
      .Text("owner", &OperatorSettings::owner, kSettingName,
            {.description = "owner whose catalogue entries the operator may "
                            "change",
             .is_required = true,
             .is_reloadable = true})
      .Text("token", &OperatorSettings::token, kSecretText,
            {.description = "bearer token",
             .is_required = true,
             .is_reloadable = true,
             .is_secret = true});
  return schema;
}

SettingsSchema<BudgetSettings> MakeBudgetSchema() {
  SettingsSchema<BudgetSettings> schema;
  schema
      .Integer("peer_bytes_per_second", &BudgetSettings::peer_bytes_per_second,
               {500, 100'000'000},
               {.description = "average bytes per second sent to peers",
                .is_reloadable = true})
      .Integer(
          "platform_reads_per_minute",
          &BudgetSettings::platform_reads_per_minute, {1, 100'000},
          {.description = "reads per minute of the platform's table by this "
                          "host",
           .is_reloadable = true})
      .Integer(
          "platform_writes_per_minute",
          &BudgetSettings::platform_writes_per_minute, {1, 100'000},
          {.description = "writes per minute to the platform's table by this "
                          "host",
           .is_reloadable = true});
  return schema;
}

void AddListeners(SettingsSchema<SteerdSettings>& schema) {
  schema
      .Text(
          "lookup_listen", &SteerdSettings::lookup_listen, kAddressText,
          {.description = "listen address for lookups, operators, metrics and "
                          "health checks; port 0 picks a free port",
           .is_required = true})
      .Group("lookup_tls", &SteerdSettings::lookup_tls, MakeTlsSchema(),
             {.description = "TLS of `lookup_listen`; none: plain HTTP"})
      .Text("peer_listen", &SteerdSettings::peer_listen, kAddressText,
            {.description = "listen address for the state exchange with other "
                            "entry hosts",
             .is_required = true})
      .Text("routing_listen", &SteerdSettings::routing_listen,
            kLoopbackAddressText,
            {.description = "listen address for this host's medlar-entryd",
             .is_required = true});
}

void AddRemoteAddresses(SettingsSchema<SteerdSettings>& schema) {
  schema
      .Text("entry_address", &SteerdSettings::entry_address, kAddressText,
            {.description = "address of this host's medlar-entryd for callers; "
                            "none: the address that medlar-entryd reports"})
      .Text("platform_url", &SteerdSettings::platform_url, kHttpUrl,
            {.description =
                 "address of the platform's table, objects and host list",
             .is_required = true})
      .Milliseconds("platform_timeout_ms", &SteerdSettings::platform_timeout,
                    {10, 60'000},
                    {.description = "timeout of a call to the platform"})
      .TextList(
          "peers", &SteerdSettings::peers, kAddressText,
          {.description = "peer addresses to contact first; further peers "
                          "are discovered through them and the host list",
           .is_reloadable = true})
      .List("operators", &SteerdSettings::operators, MakeOperatorSchema(),
            {.description = "operators who may change the catalogue",
             .is_reloadable = true});
}

SettingsSchema<SteerdSettings> MakeSchema() {
  SettingsSchema<SteerdSettings> schema;
  AddHostFields(schema);
  AddListeners(schema);
  AddRemoteAddresses(schema);
  schema
      .Integer("threads", &SteerdSettings::threads, {1, 64},
               {.description = "number of threads that serve `lookup_listen`"})
      .Integer("max_connections", &SteerdSettings::max_connections,
               {16, 1'000'000},
               {.description = "maximum number of concurrent connections of "
                               "`lookup_listen`; each uses up to 32 KB"})
      .Integer("memory_mb", &SteerdSettings::memory_mb, {32, 1'000'000},
               {.description = "memory limit of the process, MB; requests that "
                               "arrive take at most five eighths of it, and "
                               "their connections' buffers a quarter of that"})
      .Group("budgets", &SteerdSettings::budgets, MakeBudgetSchema(),
             {.description = "resource budgets of the control plane",
              .is_reloadable = true});
  AddOperationFields(schema);
  return schema;
}

}  // namespace

const SettingsSchema<SteerdSettings>& SteerdSchema() {
  static const SettingsSchema<SteerdSettings> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
