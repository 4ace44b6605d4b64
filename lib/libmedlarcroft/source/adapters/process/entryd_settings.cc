#include "adapters/process/entryd_settings.h"

namespace medlarcroft::adapters {

namespace {

SettingsSchema<OutboundSettings> MakeUpstreamSchema() {
  SettingsSchema<OutboundSettings> schema;
  schema
      .Milliseconds("connect_timeout_ms", &OutboundSettings::connect_timeout,
                    {1, 60'000},
                    {.description = "longest wait for a new connection"})
      .Integer("max_idle_connections", &OutboundSettings::max_idle_connections,
               {0, 1'000'000}, {.description = "idle connections kept in all"})
      .Integer("max_connections_per_target",
               &OutboundSettings::max_connections_per_target, {1, 100'000},
               {.description = "connections to one target at once; a target "
                               "of today takes 330 to 390 from all hosts"});
  return schema;
}

void AddListener(SettingsSchema<EntrydSettings>& schema) {
  schema
      .Text("listen", &EntrydSettings::listen, kAddressText,
            {.description = "listener for callers' requests; port 0 takes a "
                            "free one",
             .is_required = true})
      .Group("tls", &EntrydSettings::tls, MakeTlsSchema(),
             {.description = "TLS of that listener; none: plain HTTP"})
      .Text("advertise", &EntrydSettings::advertise, kAddressText,
            {.description = "address given to callers; none: `listen`"})
      .Integer("max_connections", &EntrydSettings::max_connections,
               {16, 1'000'000},
               {.description = "callers' connections at once; each holds 32 "
                               "KB at most"})
      .Integer("threads", &EntrydSettings::threads, {1, 64},
               {.description = "threads of the listener"})
      .Milliseconds("idle_timeout_ms", &EntrydSettings::idle_timeout,
                    {1000, 3'600'000},
                    {.description = "a connection that sends nothing for so "
                                    "long is closed; whole seconds count"});
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
      .Text("share_listen", &EntrydSettings::share_listen, kAddressText,
            {.description = "listener where other entry hosts borrow slots",
             .is_required = true})
      .Text("platform_url", &EntrydSettings::platform_url, kHttpUrl,
            {.description = "the platform's table, for seats and claims",
             .is_required = true})
      .TextList("key_secrets", &EntrydSettings::key_secrets, kHexSecret,
                {.description = "one or two secrets of idempotency keys: the "
                                "first signs new keys, both are accepted",
                 .is_required = true,
                 .is_reloadable = true,
                 .is_secret = true},
                {.least = 1, .most = 2})
      .Milliseconds("longest_work_ms", &EntrydSettings::longest_work,
                    {1000, 600'000},
                    {.description =
                         "longest time that a request may use a slot, whatever "
                         "its deadline; the slots of a host that died are free "
                         "after this and a lease. The same on all hosts"})
      .Group("upstream", &EntrydSettings::outbound, MakeUpstreamSchema(),
             {.description = "connections to targets and other entry hosts"});
  AddOperationFields(schema);
  return schema;
}

}  // namespace

const SettingsSchema<EntrydSettings>& EntrydSchema() {
  static const SettingsSchema<EntrydSettings> schema = MakeSchema();
  return schema;
}

}  // namespace medlarcroft::adapters
