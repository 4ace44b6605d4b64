#ifndef MEDLARCROFT_REQUEST_PATH_REQUEST_PATH_H_
#define MEDLARCROFT_REQUEST_PATH_REQUEST_PATH_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/request_path/crash_tracker.h"
#include "medlarcroft/request_path/placement_policy.h"
#include "medlarcroft/request_path/rate_limits.h"
#include "medlarcroft/request_path/region_plan.h"
#include "medlarcroft/request_path/retry_budget_share.h"
#include "medlarcroft/request_path/service_times.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/routing/route_table.h"

namespace medlarcroft::request_path {

/// @brief Names one request from `Begin` to its final answer.
using RequestTicket = std::uint64_t;
/// @brief Counts a request's sends from 1.
using AttemptNumber = std::uint32_t;

/// @brief What a caller asks for.
struct CallerRequest {
  std::string host;
  std::string target;  ///< Path and query.
  std::string object;  ///< What it concerns; empty: nothing in particular.
  /// How long the caller still waits; absent: as long as the route allows.
  std::optional<Duration> time_left;
  RequestFingerprint fingerprint;
};

/// @brief Why a request ends without a target's answer.
enum class FailureReason {
  kNotConfigured,        ///< This host knows no configuration yet.
  kNoRoute,              ///< No route takes it.
  kNoRouteYet,           ///< None that is known, but the news may be old.
  kNoTarget,             ///< No target may be used.
  kOverloaded,           ///< The wait would be too long.
  kDeadlineUnreachable,  ///< It can't be answered in the time that is left.
  kRetriesExhausted,     ///< It did not run, and no further send is allowed.
  kMayHaveRun,           ///< A send was lost, and must not be repeated.
  kTimedOut,             ///< The time is over while a target had it.
  kHostDraining,         ///< This host takes nothing new.
  kRequestBlocked,       ///< It is blocked because it crashed targets.
};

/// @brief A final answer that this host makes itself.
struct RequestFailure {
  FailureReason reason = FailureReason::kNoTarget;
  /// Proved: no target ran it, and none will.
  bool is_not_run = true;
  /// When the caller may come back; absent: no use.
  std::optional<Duration> retry_after;
  /// The best place there was, for the log; absent: none.
  std::optional<Placement> best;
};

/// @brief Send the request to `target` now.
struct SendAttempt {
  AttemptNumber attempt = 0;
  TargetIdentity target;
  std::string address;
  RegionName region;
  Duration round_trip{0};  ///< To the target, as measured.
  Duration time_left{0};   ///< To tell the target.
  bool may_repeat = false;
  /// Other hosts are to hear that the target has the object now.
  bool should_announce = false;
  /// When `OnSlow` is due, if the attempt has not ended by then.
  std::optional<Duration> hedge_after;
  Placement placement;
  std::optional<Duration> report_age;
};

/// @brief Pass on what the target answered; the other sends are to be ended.
struct PassOn {
  AttemptNumber attempt = 0;
  std::vector<AttemptNumber> abandoned;
};

/// @brief Another send of the request is under way; its end decides.
struct AwaitAttempt {};

using Step = std::variant<SendAttempt, RequestFailure, PassOn, AwaitAttempt>;

/// @brief What `Begin` tells beside the first step.
struct RequestStart {
  RequestTicket ticket = 0;  ///< 0: it ended at once.
  std::shared_ptr<const routing::Route> route;
  ServiceName service;
  Duration time_left{0};  ///< Until `OnTimeout` is due.
  Step step;
};

/// @brief One host's decisions about requests, from arrival to final answer,
/// without I/O and for one thread.
///
/// Load: demand that moves between regions in waves and passes what a region's
/// targets bear, targets that are shared with other hosts, lost answers. Harm
/// prevented: late answers for all in place of refusals for some, double runs,
/// retries that become a load of their own. A request that can't be answered
/// in its time is refused at once; one that is not idempotent is sent again
/// only when it is proved that it did not run.
class RequestPath {
 public:
  struct Options {
    RegionName own_region;
    RetryLimit retry_limit;
    /// A cold target's requests in any second, over its configured rate.
    double cold_over = 1.0;
    double cold_extra = 0.0;
    /// Whether requests keep to a plan of regions; otherwise each is placed
    /// wherever it is best.
    bool uses_region_plan = true;
    RegionPlanOptions region_plan;
    PlacementOptions placement;
    /// Chooses among the targets; null: the one expected to answer first. It
    /// must outlive the path.
    const CandidateSelector* rule = nullptr;
    /// The longest wait in a target's queue that is still accepted, in parts of
    /// the latency objective: beyond it the answer comes late and holds up what
    /// follows.
    double max_queue_wait = 0.6;
    CrashTracker::Options crashes;
    RateLimits::Options limits;
  };

  RequestPath(const Options& options,
              routing::RouteTable& routes,
              TargetDirectory& targets,
              ports::RandomSource& random);

  /// @brief How many hosts share what is bounded for all: those that are or
  /// may be sending.
  void SetHostCount(std::uint32_t hosts) { host_count_ = std::max(hosts, 1U); }
  /// @brief Whether the configuration may be older than what is in force.
  void SetConfigurationStale(bool is_doubtful) {
    is_news_doubtful_ = is_doubtful;
  }

  [[nodiscard]] RequestStart Begin(const CallerRequest& request,
                                   MonotonicTime now);

  [[nodiscard]] Step OnAttemptEnd(RequestTicket ticket,
                                  AttemptNumber attempt,
                                  AttemptEnd end,
                                  MonotonicTime now);
  /// @brief An attempt takes longer than is usual.
  [[nodiscard]] Step OnSlow(RequestTicket ticket, MonotonicTime now);
  /// @brief The time that `Begin` told is over: the request ends.
  [[nodiscard]] RequestFailure OnTimeout(RequestTicket ticket,
                                         MonotonicTime now);
  /// @brief The caller went away: the request ends.
  void OnCallerGone(RequestTicket ticket);

  void OnReport(const TargetIdentity& target,
                const LoadReport& report,
                MonotonicTime now);
  /// @brief Another host sent that object to a target.
  void OnPlacedByOtherHost(TargetNumber target, ObjectKey object);
  /// @brief Another host heard how many requests a target had.
  void OnReportedLoad(TargetNumber target,
                      std::uint32_t requests,
                      MonotonicTime now);
  void OnConnected(const RegionName& region, Duration round_trip) {
    distances_.OnConnected(region, round_trip);
  }

  /// @brief Applies the rate limit that a target declares in its answer.
  /// @param limit requests per second for all hosts together; nullopt: none.
  void OnRateLimit(RequestTicket ticket,
                   AttemptNumber attempt,
                   std::optional<double> limit,
                   MonotonicTime now);
  /// @brief Applies a rate limit report of another host.
  void OnLimitReport(const LimitReport& report, MonotonicTime now);
  [[nodiscard]] RateLimits& Limits() { return limits_; }
  [[nodiscard]] CrashTracker& Crashes() { return crashes_; }
  [[nodiscard]] std::size_t InFlight() const { return requests_.size(); }
  [[nodiscard]] std::uint32_t HostCount() const { return host_count_; }
  [[nodiscard]] std::uint64_t ConfigurationVersion() const {
    return routes_.Version();
  }
  [[nodiscard]] double AttemptsLeft(const ServiceName& service,
                                    MonotonicTime now);

 private:
  struct Attempt {
    AttemptNumber number = 0;
    TargetIdentity target;
    MonotonicTime sent_at;
    Duration round_trip{0};
    Duration expected_wait{0};
    double load_ahead = 0;
    bool is_warm = false;
    bool is_open = true;
  };
  struct Request {
    std::shared_ptr<const routing::Route> route;
    ServiceName service;
    ObjectKey object;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
    std::vector<Attempt> attempts;
    std::uint32_t arrivals = 0;  ///< Sends that reached a target.
    bool may_have_run = false;
    /// The last answer that reports a failure of its target.
    std::optional<AttemptNumber> failed_answer;
  };

  [[nodiscard]] RetryBudgetShare& AllowanceOf(const ServiceName& service);
  [[nodiscard]] ServiceTimes& TimesOf(const ServiceName& service,
                                      Duration latency_objective);
  [[nodiscard]] std::uint32_t ColdAllowance(const ServiceName& service) const;
  /// @param regions those allowed; empty: all.
  [[nodiscard]] std::optional<Placement> Place(
      const Request& request,
      std::span<const RegionName> regions,
      MonotonicTime now);
  /// @brief Places a request's first send within the plan of regions.
  [[nodiscard]] std::optional<Placement> PlaceByPlan(const Request& request,
                                                     MonotonicTime now);
  [[nodiscard]] Duration LongestWait(const Request& request) const;
  [[nodiscard]] RegionSlots SlotsOf(const ServiceName& service);
  [[nodiscard]] Step Send(Request& request,
                          const Placement& placement,
                          MonotonicTime now);
  [[nodiscard]] Step SendFirst(Request& request, MonotonicTime now);
  [[nodiscard]] Step SendAgain(Request& request, MonotonicTime now);
  [[nodiscard]] Step Conclude(RequestTicket ticket,
                              Request& request,
                              const RequestFailure& ending);
  void Learn(const Request& request,
             const Attempt& attempt,
             AttemptEnd end,
             MonotonicTime now);
  [[nodiscard]] Duration ReturnTime(Duration wait);
  std::vector<AttemptNumber> Abandon(Request& request);
  void TakeReport(TargetState& target,
                  const LoadReport& report,
                  MonotonicTime now);

  Options options_;
  SoonestAnswer soonest_answer_;
  routing::RouteTable& routes_;
  TargetDirectory& targets_;
  ports::RandomSource& random_;
  RegionDistances distances_;
  CrashTracker crashes_;
  RateLimits limits_;
  std::uint32_t host_count_ = 1;
  bool is_news_doubtful_ = false;
  RequestTicket last_ticket_ = 0;
  std::unordered_map<RequestTicket, Request> requests_;
  std::map<ServiceName, RetryBudgetShare> allowances_;
  std::map<ServiceName, ServiceTimes> times_;
  std::map<ServiceName, RegionPlan> plans_;
  std::map<ServiceName, RegionLoad> loads_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REQUEST_PATH_H_
