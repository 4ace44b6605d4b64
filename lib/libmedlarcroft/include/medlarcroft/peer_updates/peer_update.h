#ifndef MEDLARCROFT_PEER_UPDATES_PEER_UPDATE_H_
#define MEDLARCROFT_PEER_UPDATES_PEER_UPDATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/heartbeat.h"
#include "medlarcroft/membership/host_state.h"
#include "medlarcroft/quota/quota_message.h"
#include "medlarcroft/request_path/crash_tracker.h"
#include "medlarcroft/request_path/object_key.h"
#include "medlarcroft/request_path/rate_limits.h"
#include "medlarcroft/request_path/target_identity.h"

namespace medlarcroft::peer_updates {

/// @brief An object that a host has just sent to a target.
struct PlacedObject {
  request_path::TargetNumber target{};
  request_path::ObjectKey object;

  friend bool operator==(const PlacedObject&, const PlacedObject&) = default;
};

/// @brief Number of requests from all hosts that a target had when it answered
/// one.
struct ReportedLoad {
  request_path::TargetNumber target{};
  std::uint32_t requests = 0;  ///< Encoded as at most 255.

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// @brief A crash report that waits to be sent.
struct WaitingCrashReport {
  request_path::CrashReport report;
  MonotonicTime waits_since;

  /// @return the report with its age at `now`.
  [[nodiscard]] request_path::CrashReport At(MonotonicTime now) const {
    request_path::CrashReport aged = report;
    aged.age += now - waits_since;
    return aged;
  }
};

/// @brief How an update travels, which decides where its receiver forwards it.
enum class UpdateRoute : std::uint8_t {
  kDirect,    ///< Sent to every host by its author; not forwarded.
  kReport,    ///< From a host to the relay of its domain, for the whole region.
  kExchange,  ///< From relay to relay, for the receiver's domain.
  kDigest,    ///< From a relay to a host of its domain; not forwarded.
  kInterRegion,  ///< From another region, for the receiver's region.
};

/// @brief Content of one datagram from one host to another.
struct PeerUpdate {
  UpdateRoute way = UpdateRoute::kDirect;
  std::uint32_t sender = 0;  ///< `membership::HashOf` the sender's name.
  std::optional<membership::HostState> state;  ///< Without `loads`.
  std::vector<PlacedObject> placed;
  std::vector<ReportedLoad> loads;
  std::vector<request_path::CrashReport> crashes;
  std::vector<request_path::LimitReport> limits;
  /// Heartbeats of hosts whose state the receiver already has, ten bytes each.
  std::vector<membership::Heartbeat> heartbeats;
  std::optional<quota::TokenRequest> token_request;
  std::optional<quota::TokenAnswer> token_answer;
};

inline constexpr std::size_t kPlacedBytes = 8;
inline constexpr std::size_t kLoadBytes = 5;
/// With the age.
inline constexpr std::size_t kCrashReportBytes = 14;
inline constexpr std::size_t kLimitReportBytes = 8;

[[nodiscard]] std::string EncodePlaced(const std::vector<PlacedObject>& placed);
[[nodiscard]] std::string EncodeLoads(const std::vector<ReportedLoad>& loads);
[[nodiscard]] std::string EncodeCrashes(
    const std::vector<request_path::CrashReport>& crashes);
/// Ages are rounded to 50 ms, up to 12.75 s.
[[nodiscard]] std::string EncodeCrashAges(
    const std::vector<request_path::CrashReport>& crashes);
/// @brief Sets the ages of `crashes`. Hosts of earlier versions send none.
/// @return false when there is not one for each.
[[nodiscard]] bool ApplyCrashAges(
    std::string_view bytes,
    std::vector<request_path::CrashReport>& crashes);
/// Rates are rounded up to thousandths of a request per second, so that only a
/// rate of 0 is encoded as 0.
[[nodiscard]] std::string EncodeLimits(
    const std::vector<request_path::LimitReport>& limits);
/// @return nullopt when the length is invalid.
[[nodiscard]] std::optional<std::vector<PlacedObject>> DecodePlaced(
    std::string_view bytes);
[[nodiscard]] std::optional<std::vector<ReportedLoad>> DecodeLoads(
    std::string_view bytes);
/// @return nullopt when the length is invalid or a kind is unknown.
[[nodiscard]] std::optional<std::vector<request_path::CrashReport>>
DecodeCrashes(std::string_view bytes);
/// @return nullopt when the length is invalid.
[[nodiscard]] std::optional<std::vector<request_path::LimitReport>>
DecodeLimits(std::string_view bytes);

}  // namespace medlarcroft::peer_updates

#endif  // MEDLARCROFT_PEER_UPDATES_PEER_UPDATE_H_
