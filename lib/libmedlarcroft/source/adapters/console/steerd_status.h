#ifndef MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_STATUS_H_
#define MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_STATUS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarcroft::adapters {

/// @brief The state of one host as reported by a steerd.
struct MemberStatus {
  std::string host;
  std::string failure_domain;
  std::string state;  ///< "alive", "suspect", "dead", "leaving", "unknown".
  std::string phase;  ///< "starting", "ready", "leaving".
  std::uint64_t revision = 0;
  std::int64_t age_ms = 0;
};

/// @brief Requests that a host still has in flight on a drained subject;
/// reported only by a steerd that knows them.
struct DrainStatus {
  std::string subject;
  std::string name;
  std::uint64_t outstanding = 0;
};

/// @brief Parsed response of `GET /v1/status`. Missing fields keep their
/// defaults, for compatibility with older versions of steerd.
struct SteerdStatus {
  std::string host;
  std::string failure_domain;
  std::string phase;
  bool is_ready = false;
  std::vector<std::string> not_ready_because;
  std::uint64_t revision = 0;
  std::uint64_t highest_seen = 0;
  std::int64_t in_force_ms_ago = 0;
  bool is_platform_reachable = false;
  std::int64_t platform_since_ms = 0;
  std::vector<MemberStatus> members;
  std::vector<DrainStatus> drains;
  std::vector<std::string> serves;
  std::vector<std::string> cannot;
};

/// @return nullopt if `body` is not a valid status document.
[[nodiscard]] std::optional<SteerdStatus> ParseSteerdStatus(
    std::string_view body);

/// @brief Rollout state of a revision in one failure domain.
struct DomainProgress {
  std::uint64_t hosts_in_force = 0;
  std::vector<std::string> behind;        ///< Alive with an older revision.
  std::vector<std::string> out_of_reach;  ///< Not known to be alive.
};

/// @brief Computes the rollout state of a revision by failure domain. For hosts
/// that responded their own status counts, for others the newest report.
[[nodiscard]] std::map<std::string, DomainProgress> MeasureProgress(
    const std::vector<SteerdStatus>& statuses,
    std::uint64_t revision);

/// @return whether no live host has an older revision.
[[nodiscard]] bool IsInForce(
    const std::map<std::string, DomainProgress>& progress);

/// @return the sum of requests in flight on a drained subject, as far as hosts
/// report it; nullopt if no host does.
[[nodiscard]] std::optional<std::uint64_t> OutstandingRequestsOf(
    const std::vector<SteerdStatus>& statuses,
    std::string_view subject,
    std::string_view name);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_CONSOLE_STEERD_STATUS_H_
