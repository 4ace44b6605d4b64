#ifndef MEDLARCROFT_ADAPTERS_PROCESS_NODE_SETTINGS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_NODE_SETTINGS_H_

#include <string>
#include <vector>

#include "adapters/process/common_settings.h"

namespace medlarcroft::adapters {

/// @brief The region that a failure domain belongs to.
struct DomainRegion {
  std::string domain;
  std::string region;
};

/// @brief Limits that apply to all hosts together, as configured by the users.
/// Each member is named after its setting.
struct NodeBounds {
  double attempt_ratio = 0.2;  ///< Additional attempts per request.
  Duration attempt_window = std::chrono::seconds(10);
  std::uint32_t attempt_extra = 50;  ///< Added to that per window.
  /// In any window of this length, the requests of a client account exceed its
  /// quota by at most `quota_overage` of it plus `quota_slack`.
  Duration quota_window = std::chrono::seconds(5);
  double quota_overage = 0.1;
  std::uint32_t quota_slack = 20;
  double cold_over = 1.0;  ///< Multiple of a cold target's configured rate.
  std::uint32_t cold_extra = 0;  ///< Requests/s added to that.
  /// Maximum fraction of a region's requests that may move to another region
  /// within two seconds.
  double shift_most = 0.15;
  /// Maximum time from the stop signal to the exit of the process.
  Duration stop_limit = std::chrono::seconds(6);
  /// Maximum TTL of a lookup answer.
  Duration lookup_time_to_live = std::chrono::seconds(5);
  /// Once the store and a host have worked without errors for this long, the
  /// host must have received everything that the store has acknowledged.
  Duration in_touch_after = std::chrono::seconds(4);
  /// Interval at which targets renew their entries in the store. An entry that
  /// is not renewed three times in a row expires.
  Duration target_heartbeat = std::chrono::milliseconds(1500);
  /// Maximum time from the store's notice that a target is leaving to the last
  /// request that may reach that target.
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
  std::string metrics_listen;  ///< Empty: no metrics.
  std::string peer_listen;     ///< UDP address.
  std::string store_address;
  std::uint32_t memory_mb = 256;
  std::uint32_t max_descriptors = 0;  ///< 0: what the system allows.
  double link_mbps = 1000;
  NodeBounds bounds;
  TelemetrySettings telemetry;
};

[[nodiscard]] const SettingsSchema<NodeSettings>& NodeSchema();

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_NODE_SETTINGS_H_
