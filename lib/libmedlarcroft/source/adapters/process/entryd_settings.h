#ifndef MEDLARCROFT_ADAPTERS_PROCESS_ENTRYD_SETTINGS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_ENTRYD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "adapters/process/common_settings.h"

namespace medlarcroft::adapters {

/// @brief Outgoing HTTP connections to targets and other entry hosts.
struct OutboundSettings {
  Duration connect_timeout = std::chrono::milliseconds(500);
  std::uint32_t max_idle_connections = 1024;
  std::uint32_t max_connections_per_target = 330;
};

/// @brief Settings of medlar-entryd.
struct EntrydSettings {
  std::string host;
  std::string failure_domain;
  std::string listen;
  TlsSettings tls;
  std::string advertise;
  std::string routing_address;
  std::string share_listen;
  std::string platform_url;
  std::vector<std::string> key_secrets;
  std::uint32_t max_connections = 4096;
  std::uint32_t memory_mb = 256;
  std::uint32_t threads = 2;
  Duration idle_timeout = std::chrono::seconds(60);
  Duration longest_work = std::chrono::seconds(10);
  OutboundSettings outbound;
  TelemetrySettings telemetry;
  DrainSettings drain;
};

[[nodiscard]] const SettingsSchema<EntrydSettings>& EntrydSchema();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_ENTRYD_SETTINGS_H_
