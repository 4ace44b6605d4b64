#ifndef MEDLARCROFT_ADAPTERS_PROCESS_NODE_SETTINGS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_NODE_SETTINGS_H_

#include <string>
#include <vector>

#include "adapters/process/common_settings.h"

namespace medlarcroft::adapters {

/// @brief Where a failure domain lies.
struct DomainRegion {
  std::string domain;
  std::string region;
};

/// @brief Bounds that all hosts keep together, as the users set them.
struct NodeBounds {
  double attempt_ratio = 0.2;  ///< Further sends for each request.
  Duration attempt_window = std::chrono::seconds(10);
  std::uint32_t attempt_extra = 50;  ///< On top, in each window.
  double cold_over = 1.0;            ///< Over a cold target's configured rate.
  std::uint32_t cold_extra = 0;
  double shift_most = 0.15;  ///< Part of a region's requests in two seconds.
  /// From the signal to stop to the end of the process.
  Duration stop_limit = std::chrono::seconds(6);
  Duration lookup_time_to_live = std::chrono::seconds(5);  ///< At most.
  /// Once the store and a host have been without trouble for so long, the host
  /// must know what the store has acknowledged.
  Duration in_touch_after = std::chrono::seconds(4);
  /// From the store's word that a target leaves to the last request that may
  /// reach it.
  Duration target_left_within = std::chrono::milliseconds(2500);
};

/// @brief Settings of medlar-node.
struct NodeSettings {
  std::string host;
  std::string failure_domain;
  std::string region;
  std::vector<DomainRegion> domains;
  std::string caller_listen;
  std::string readiness_listen;
  std::string lookup_listen;
  std::string metrics_listen;  ///< Empty: none.
  std::string peer_listen;     ///< UDP.
  std::string store_address;
  std::uint32_t memory_mb = 256;
  double link_mbps = 1000;
  NodeBounds bounds;
  TelemetrySettings telemetry;
};

[[nodiscard]] const SettingsSchema<NodeSettings>& NodeSchema();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_NODE_SETTINGS_H_
