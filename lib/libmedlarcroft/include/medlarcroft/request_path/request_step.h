#ifndef MEDLARCROFT_REQUEST_PATH_REQUEST_STEP_H_
#define MEDLARCROFT_REQUEST_PATH_REQUEST_STEP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/placement_policy.h"
#include "medlarcroft/request_path/request_fingerprint.h"
#include "medlarcroft/request_path/target_identity.h"
#include "medlarcroft/routing/api_key.h"
#include "medlarcroft/routing/client_account.h"
#include "medlarcroft/routing/route_table.h"

/// @file
/// @brief What `RequestPath` is asked, and what it decides.

namespace medlarcroft::request_path {

/// @brief Identifies a request from `Begin` to its final response.
using RequestTicket = std::uint64_t;
/// @brief Numbers a request's sends, starting at 1.
using AttemptNumber = std::uint32_t;

/// @brief A caller's request.
struct CallerRequest {
  std::string host;
  std::string target;  ///< Path and query.
  std::string object;  ///< Object that the request concerns; empty: none.
  /// Time until the caller gives up; nullopt: the timeout of the route.
  std::optional<Duration> time_left;
  RequestFingerprint fingerprint;
  std::optional<routing::ApiKeyDigest> api_key;
};

/// @brief Why a request ends without a target's response.
enum class FailureReason {
  kNotConfigured,  ///< This host has no configuration yet.
  kNoRoute,        ///< No route matches.
  kNoRouteYet,     ///< No known route matches, but the configuration may be
                   ///< outdated.
  kNoTarget,       ///< No target is usable.
  kOverloaded,     ///< The wait in a target's queue would be too long.
  kDeadlineUnreachable,  ///< No response is possible in the remaining time.
  kRetriesExhausted,     ///< It did not run, and no further send is permitted.
  kMayHaveRun,           ///< A send was lost, and must not be repeated.
  kTimedOut,             ///< The time ended while a target had the request.
  kHostDraining,         ///< This host shuts down, and may not answer it
                         ///< before its end.
  kRequestBlocked,       ///< The request is blocked because it crashed targets.
  kKeyUnknown,           ///< No client account holds the API key, or there is
                         ///< none and the route is not public.
  kKeyUnknownYet,        ///< As above, but the configuration may be outdated.
  kQuotaExceeded,        ///< The client account has used up its quota.
  kQuotaUnknown,         ///< This host can't find out whether the request is
                         ///< within the quota.
  kRegionForbidden,      ///< The route and the client account allow no region
                         ///< in common.
  kTargetsOutOfReach,    ///< This host is cut off from all targets, and no
                         ///< other host sent for it.
  kTargetsResting,       ///< All targets that may run it asked for rest.
  kRegionsUnknown,       ///< The regions in which it may run may have changed.
  kSlowCallers,  ///< Answers that callers have not read take the memory.
  kNoMemory,     ///< It gave way to others before it arrived whole.
};

/// @brief When callers may return that a stopping host refuses: other hosts
/// serve them at once.
inline constexpr Duration kRetryAfterWhenLeaving =
    std::chrono::milliseconds(50);

/// @brief The limit by which a request was refused.
struct AdmissionLimit {
  int priority = 0;      ///< 0 is the highest.
  Duration max_wait{0};  ///< Longest wait with which it is admitted.
  bool is_returning = false;
};

/// @brief A final response that this host generates itself.
struct RequestFailure {
  FailureReason reason = FailureReason::kNoTarget;
  /// Proven: no target ran the request, and none will.
  bool is_not_run = true;
  /// When the caller may retry; nullopt: a retry is useless.
  std::optional<Duration> retry_after;
  /// The best available placement, for the log; nullopt: none.
  std::optional<Placement> best;
  std::optional<AdmissionLimit> limit;  ///< For `kOverloaded`.
};

/// @brief The configuration by which a send was placed, for the log.
struct PlacementBasis {
  std::uint64_t configuration = 0;  ///< Version.
  /// Since the store last confirmed that this version is the newest one;
  /// nullopt: never.
  std::optional<Duration> configuration_age;
  /// Regions whose targets may run the request; empty: all.
  std::vector<RegionName> allowed_regions;
};

/// @brief Send the request to `target` now.
struct SendAttempt {
  AttemptNumber attempt = 0;
  TargetIdentity target;
  std::string address;
  ClientAccountName account;  ///< Empty: none.
  RegionName region;
  Duration round_trip{0};  ///< To the target, as measured.
  Duration time_left{0};   ///< Remaining time, to be stated to the target.
  bool may_repeat = false;
  /// Whether to announce to other hosts that the target now has the object.
  bool should_announce = false;
  /// Delay after which `OnSlow` must be called unless the attempt has ended.
  std::optional<Duration> hedge_after;
  /// How long to wait for the target's response after one that names no request
  /// and may be another's. A request that may be repeated is sent again at
  /// once.
  Duration unnamed_patience{0};
  Placement placement;
  std::optional<Duration> report_age;
  PlacementBasis basis;
  /// Regions of the hosts of which one must send it, since this host is cut off
  /// from the targets, in order of preference; an empty name: any region. None:
  /// this host sends it.
  std::vector<RegionName> helper_regions;
};

/// @brief Forward the target's response to the caller, and cancel the other
/// sends.
struct PassOn {
  AttemptNumber attempt = 0;
  std::vector<AttemptNumber> abandoned;
};

/// @brief Another send of the request is in progress and decides the outcome.
struct AwaitAttempt {};

/// @brief The request waits for a token of its account's quota.
struct AwaitToken {
  /// Delay after which `OnTokenWaitOver` must be called unless the wait ended.
  Duration max_wait{0};
};

using Step =
    std::variant<SendAttempt, RequestFailure, PassOn, AwaitAttempt, AwaitToken>;

/// @brief Result of `Begin`.
struct RequestStart {
  RequestTicket ticket = 0;  ///< 0: the request ended immediately.
  std::shared_ptr<const routing::Route> route;
  ServiceName service;
  /// Holder of the API key; null: none.
  std::shared_ptr<const routing::ClientAccount> account;
  Duration time_left{0};  ///< Delay after which `OnTimeout` must be called.
  Step step;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REQUEST_STEP_H_
