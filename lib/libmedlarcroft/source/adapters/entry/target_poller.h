#ifndef MEDLARCROFT_ADAPTERS_ENTRY_TARGET_POLLER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_TARGET_POLLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "adapters/entry/request_engine.h"
#include "adapters/entry/routing_table.h"
#include "adapters/http/http_client.h"
#include "medlarcroft/capacity/capacity_manager.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::adapters {

/// @brief A target's response to GET /load.
struct TargetReport {
  std::uint32_t outstanding = 0;  ///< Its unfinished requests, from all hosts.
  std::optional<bool> is_draining;  ///< If absent, GET /health is polled.
  std::optional<Duration> age;      ///< Age of the count, if given.
};

/// @return nullopt if the response is malformed.
[[nodiscard]] std::optional<TargetReport> ParseTargetReport(
    std::string_view json);

/// @return whether a response to GET /health says that the target is draining.
/// The body must name the state, because any proxy on the path can answer 503.
[[nodiscard]] bool IsDrainingResponse(const ClientResponse& health);

/// @return time between two polls of one target by one host.
/// @param hosts number of hosts that hold a seat in the failure domain, this
/// one included.
[[nodiscard]] Duration PollPeriodFor(std::size_t hosts);

/// @brief Polls targets for their load and draining state, even if no requests
/// are sent to them.
///
/// If a target starts draining while it has no traffic, no response informs the
/// hosts of that. Without polling, the first request that each host sends to it
/// afterwards would be refused, and each would cost a retry. About one poll a
/// second from its failure domain reports the state before that. What one host
/// detects reaches the other hosts of the failure domain with its observations.
/// A missing or malformed report changes nothing: the load that this host sees
/// from its own requests stays in use.
class TargetPoller {
 public:
  /// All must outlive the poller, and the poller must outlive the client's
  /// callbacks.
  struct Dependencies {
    HostName host;
    FailureDomainName failure_domain;
    RequestEngine& engine;
    HttpClient& client;
    const capacity::CapacityManager& capacity;
    ports::RandomSource& random;  ///< Used by `PollDueTargets` only.
    const ports::Clock& clock;
  };

  explicit TargetPoller(const Dependencies& dependencies)
      : dependencies_(dependencies) {}
  TargetPoller(const TargetPoller&) = delete;
  TargetPoller& operator=(const TargetPoller&) = delete;

  /// @brief Sends the polls that are due, without waiting for their responses.
  /// Must run on one thread only.
  /// @return time until the next call.
  Duration PollDueTargets();

 private:
  [[nodiscard]] std::map<FailureDomainName, Duration> PollPeriodsByDomain(
      const RoutingTable& routes) const;
  void PollLoad(const TargetName& target, const std::string& address);
  void PollHealth(const TargetName& target, const std::string& address);
  void OnLoadResponse(const TargetName& target,
                      const std::string& address,
                      MonotonicTime requested_at,
                      const ClientResult& result);

  const Dependencies dependencies_;
  std::map<TargetName, MonotonicTime> next_poll_at_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_TARGET_POLLER_H_
