#ifndef MEDLARCROFT_ADAPTERS_PROCESS_STEERD_SETTINGS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_STEERD_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "adapters/process/common_settings.h"

namespace medlarcroft::adapters {

/// @brief An operator, authenticated by a bearer token.
struct OperatorSettings {
  std::string owner;
  std::string token;
};

/// @brief Resource budgets of the control plane on this host. At the planned
/// deployment size it may use 1.9% of a core, 64 MB and 7 KB/s in total.
struct BudgetSettings {
  std::int64_t peer_bytes_per_second = 7000;
  std::int64_t platform_reads_per_minute = 120;
  std::int64_t platform_writes_per_minute = 20;
};

/// @brief Settings of medlar-steerd.
struct SteerdSettings {
  std::string host;
  std::string failure_domain;
  std::string lookup_listen;
  TlsSettings lookup_tls;
  std::string peer_listen;
  std::string routing_listen;
  std::string entry_address;
  std::string platform_url;
  Duration platform_timeout = std::chrono::seconds(2);
  std::vector<std::string> peers;
  std::vector<OperatorSettings> operators;
  std::uint32_t threads = 2;
  std::uint32_t max_connections = 4096;
  std::uint32_t memory_mb = 256;
  TelemetrySettings telemetry;
  DrainSettings drain;
  BudgetSettings budgets;
};

[[nodiscard]] const SettingsSchema<SteerdSettings>& SteerdSchema();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_STEERD_SETTINGS_H_
