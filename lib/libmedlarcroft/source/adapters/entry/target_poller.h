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

/// @brief What a target says of itself in answer to GET /load.
struct TargetReport {
  std::uint32_t outstanding = 0;    ///< Its requests from all hosts.
  std::optional<bool> is_draining;  ///< Missing: GET /health has to tell.
  std::optional<Duration> age;      ///< How old the count is, if it says so.
};

/// @return nullopt when the answer can't be understood.
[[nodiscard]] std::optional<TargetReport> ParseTargetReport(
    std::string_view json);

/// @return whether an answer to GET /health says that the target drains. A 503
/// alone could come from anything in between, so the state must be named too.
[[nodiscard]] bool IsDrainingResponse(const ClientResponse& health);

/// @return how long one host waits between two polls of one target.
/// @param hosts how many hosts of the domain hold a seat, this one included.
[[nodiscard]] Duration PollPeriodFor(std::size_t hosts);

/// @brief Asks targets for their load and whether they drain, whether or not
/// requests go to them.
///
/// Failure: a target begins to drain while it has no traffic. Symptom: the
/// first requests after it are refused there, each by each host, and cost a
/// retry. Polled about once a second by its domain, the sign is known before.
/// What one host learns reaches the domain's others with its observations. A
/// report that is missing or malformed changes nothing: what this host sees of
/// its own requests goes on counting.
class TargetPoller {
 public:
  /// All must outlive the poller; it must outlive the client's callbacks.
  struct Parts {
    HostName host;
    FailureDomainName failure_domain;
    RequestEngine& engine;
    HttpClient& client;
    const capacity::CapacityManager& capacity;
    ports::RandomSource& random;  ///< Used by `Round` only.
    const ports::Clock& clock;
  };

  explicit TargetPoller(const Parts& parts) : parts_(parts) {}
  TargetPoller(const TargetPoller&) = delete;
  TargetPoller& operator=(const TargetPoller&) = delete;

  /// @brief Sends the polls that are due; does not wait for their answers. Runs
  /// on one thread.
  /// @return the pause until the next round.
  Duration Round();

 private:
  [[nodiscard]] std::map<FailureDomainName, Duration> PeriodsOf(
      const RoutingTable& routes) const;
  void AskLoad(const TargetName& target, const std::string& address);
  void AskHealth(const TargetName& target, const std::string& address);
  void OnLoad(const TargetName& target,
              const std::string& address,
              MonotonicTime asked_at,
              const ClientResult& result);

  const Parts parts_;
  std::map<TargetName, MonotonicTime> due_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_TARGET_POLLER_H_
