#include "adapters/process/entryd_settings.h"

namespace medlarcroft::adapters {

namespace {

SettingsSchema<OutboundSettings> MakeOutboundSchema() {
  SettingsSchema<OutboundSettings> schema;
  schema
      .Milliseconds("connect_timeout_ms", &OutboundSettings::connect_timeout,
                    {1, 60'000},
                    {.description = "timeout of a connection attempt"})
      .Integer("max_idle_connections", &OutboundSettings::max_idle_connections,
               {0, 1'000'000},
               {.description = "maximum number of idle connections, to all "
                               "addresses together"})
      .Integer("max_connections_per_target",
               &OutboundSettings::max_connections_per_target, {1, 100'000},
               {.description = "maximum number of concurrent connections to "
                               "one target; current targets accept 330 to 390 "
                               "from all hosts together"});
  return schema;
}

void AddListener(SettingsSchema<EntrydSettings>& schema) {
  schema
      .Text("listen", &EntrydSettings::listen, kAddressText,
            {.description = "listen address for callers' requests; port 0 "
                            "picks a free port",
             .is_required = true})
      .Group("tls", &EntrydSettings::tls, MakeTlsSchema(),
             {.description = "TLS of `listen`; none: plain HTTP"})
      .Text("advertise", &EntrydSettings::advertise, kAddressText,
            {.description = "address advertised to callers; none: `listen`"})
      .Integer(
          "max_connections", &EntrydSettings::max_connections, {16, 1'000'000},
          {.description = "maximum number of concurrent caller connections; "
                          "each uses up to 32 KB"})
      .Integer("memory_mb", &EntrydSettings::memory_mb, {32, 1'000'000},
               {.description = "memory limit of the process, MB; requests that "
                               "arrive take at most five eighths of it, and "
                               "their connections' buffers a quarter of that"})
      .Integer("threads", &EntrydSettings::threads, {1, 64},
               {.description = "number of threads that serve `listen`"})
      .Milliseconds(
          "idle_timeout_ms", &EntrydSettings::idle_timeout, {1000, 3'600'000},
          {.description = "idle time after which a caller's connection "
                          "is closed; fractions of a second are ignored"});
}

SettingsSchema<EntrydSettings> MakeSchema() {
  SettingsSchema<EntrydSettings> schema;
  AddHostFields(schema);
  AddListener(schema);
  schema
      .Text("routing_address", &EntrydSettings::routing_address,
            kLoopbackAddressText,
            {.description = "`routing_listen` of this host's medlar-steerd",
             .is_required = true})
      .Text(
          "share_listen", &EntrydSettings::share_listen, kAddressText,
          {.description = "listen address where other entry hosts borrow slots",
           .is_required = true})
      .Text("platform_url", &EntrydSettings::platform_url, kHttpUrl,
            {.description =
                 "address of the platform's table, which stores capacity "
                 "leases and claims of idempotency keys",
             .is_required = true})
      .TextList("key_secrets", &EntrydSettings::key_secrets, kHexSecret,
                {.description =
                     "one or two secrets that sign idempotency keys: "
                     "new keys are signed with the first; both are accepted",
                 .is_required = true,
                 .is_reloadable = true,
                 .is_secret = true},
                {.minimum = 1, .maximum = 2})
      .Milliseconds(
          "longest_work_ms", &EntrydSettings::longest_work, {1000, 600'000},
          {.description =
               "maximum time that a request may occupy a slot, regardless of "
               "its deadline; the slots of a failed host become free after "
               "this time plus one lease. Must be the same on all hosts"})
      .Group("upstream", &EntrydSettings::outbound, MakeOutboundSchema(),
             {.description =
                  "outgoing connections to targets and other entry hosts"});
  AddOperationFields(schema);
  return schema;
}

}  // namespace

const SettingsSchema<EntrydSettings>& EntrydSchema() {
  static const SettingsSchema<EntrydSettings> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
