#ifndef MEDLARCROFT_REQUEST_PATH_REQUEST_PATH_H_
#define MEDLARCROFT_REQUEST_PATH_REQUEST_PATH_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "medlarcroft/admission/returning_callers.h"
#include "medlarcroft/admission/service_admission.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/host_share.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/quota/quota_gate.h"
#include "medlarcroft/request_path/bound_demand.h"
#include "medlarcroft/request_path/crash_tracker.h"
#include "medlarcroft/request_path/placement_policy.h"
#include "medlarcroft/request_path/rate_limits.h"
#include "medlarcroft/request_path/region_plan.h"
#include "medlarcroft/request_path/request_step.h"
#include "medlarcroft/request_path/service_times.h"
#include "medlarcroft/request_path/target_directory.h"
#include "medlarcroft/request_path/target_notice.h"
#include "medlarcroft/request_path/target_reach.h"
#include "medlarcroft/retries/retry_budget.h"
#include "medlarcroft/routing/route_table.h"

namespace medlarcroft::request_path {

/// @brief How old a host's knowledge of the configuration is.
struct ConfigurationAge {
  /// When the store last confirmed it; nullopt: never.
  std::optional<MonotonicTime> confirmed_at;
  /// From when on a newer one may be in force; nullopt: it is not known to be.
  std::optional<MonotonicTime> overdue_at;
};

/// @brief One host's decisions about requests, from arrival to final response,
/// without I/O. Not thread-safe.
///
/// Demand moves between regions in waves and may exceed a region's capacity,
/// other hosts use the same targets, and responses may be lost. Without limits,
/// all callers would get late responses instead of some getting refusals,
/// requests would run twice, and retries would overload the targets. A request
/// that cannot be answered in time is refused immediately; a request that is
/// not idempotent is sent again only when it is proven that it did not run.
class RequestPath {
 public:
  struct Options {
    RegionName own_region;
    retries::RetryLimit retry_limit;
    /// A cold target gets its configured rate times `cold_over` plus
    /// `cold_extra` requests per second, from all hosts together.
    double cold_over = 1.0;
    double cold_extra = 0.0;
    /// Whether requests are placed according to a region plan; otherwise each
    /// is placed on the best target of any region.
    bool uses_region_plan = true;
    RegionPlanOptions region_plan;
    PlacementOptions placement;
    /// Selects the target; null: the one with the lowest cost. Must outlive the
    /// path.
    const CandidateSelector* rule = nullptr;
    /// Longest accepted wait in a target's queue, as a fraction of the latency
    /// objective: after a longer wait the response is late and delays the
    /// requests behind it.
    double max_queue_wait = 0.6;
    CrashTracker::Options crashes;
    RateLimits::Options limits;
    TargetReach::Options reach;
  };

  RequestPath(const Options& options,
              routing::RouteTable& routes,
              TargetDirectory& targets,
              ports::RandomSource& random);

  /// @brief Sets this host's share of the limits for all hosts.
  void SetShare(const membership::HostShare& share) { share_ = share; }
  /// @brief Sets what is known of the configuration's age.
  void SetConfigurationAge(const ConfigurationAge& age) {
    configuration_age_ = age;
  }

  /// @brief Sets whether the store answers no host, so that the configuration
  /// can't have changed although it may be older than the one in force.
  void SetStoreAway(bool is_away) { is_store_away_ = is_away; }

  /// @brief Checks requests against the quotas of their accounts.
  /// @param quotas must outlive this object.
  void EnforceQuotas(quota::QuotaGate& quotas) { quotas_ = &quotas; }

  /// @brief This host stops: all requests must be answered by `due`, those that
  /// it has and those that it takes from now on.
  void AnswerBy(MonotonicTime due);

  [[nodiscard]] bool IsRouted(const CallerRequest& request) const {
    return routes_.Find(request.host, request.target) != nullptr;
  }
  [[nodiscard]] RequestStart Begin(const CallerRequest& request,
                                   MonotonicTime now);

  [[nodiscard]] Step OnAttemptEnd(RequestTicket ticket,
                                  AttemptNumber attempt,
                                  AttemptEnd end,
                                  MonotonicTime now);
  /// @brief Tokens of an account arrived, or none will.
  /// @return the requests that no longer wait for one.
  [[nodiscard]] std::vector<std::pair<RequestTicket, Step>> OnTokens(
      const ClientAccountName& account,
      MonotonicTime now);
  /// @brief The request has waited for a token for `AwaitToken::max_wait`.
  [[nodiscard]] Step OnTokenWaitOver(RequestTicket ticket, MonotonicTime now);
  /// @brief An attempt takes longer than usual: a hedged attempt may be sent.
  [[nodiscard]] Step OnSlow(RequestTicket ticket, MonotonicTime now);
  /// @brief The time returned by `Begin` is over: the request ends.
  [[nodiscard]] RequestFailure OnTimeout(RequestTicket ticket,
                                         MonotonicTime now);
  /// @brief The caller disconnected: the request ends.
  void OnCallerGone(RequestTicket ticket, MonotonicTime now);

  void OnReport(const TargetIdentity& target,
                const LoadReport& report,
                MonotonicTime now);
  /// @brief Another host sent the object to a target.
  void OnPlacedByOtherHost(TargetNumber target, ObjectKey object);
  /// @brief Applies a target's number of requests that another host observed.
  void OnReportedLoad(TargetNumber target,
                      std::uint32_t requests,
                      MonotonicTime now);
  void OnConnected(const RegionName& region,
                   Duration round_trip,
                   MonotonicTime now) {
    distances_.OnConnected(region, round_trip);
    reach_.OnConnected(now);
  }
  /// @brief A send for another host connected to its target.
  void OnRelayConnected(MonotonicTime now) { reach_.OnConnected(now); }
  void OnConnectFailed(const TargetIdentity& target, MonotonicTime now) {
    reach_.OnConnectFailed(NumberOf(target), now);
  }
  /// @brief Another host sent for this one.
  void OnRelayed() { reach_.OnRelayed(); }
  /// @return targets to which connections must be tried now, each of which
  /// `OnReachProbed` must follow.
  [[nodiscard]] std::vector<ReachCandidate> StartReachProbes(
      const FailureDomainName& own_domain,
      MonotonicTime now);
  void OnReachProbed(TargetNumber target, bool is_reached, MonotonicTime now);
  [[nodiscard]] const TargetReach& Reach() const { return reach_; }

  /// @brief Applies what a response of the target says about its process, also
  /// when the response is incomplete, late or belongs to another request.
  /// @param request whose response it was, for the log.
  void OnNotice(const TargetIdentity& target,
                const TargetNotice& notice,
                std::string_view request,
                MonotonicTime now);
  /// @return whether requests may be sent to the process now.
  [[nodiscard]] bool MaySend(const TargetIdentity& target,
                             MonotonicTime now) const {
    return targets_.FindUsableAddress(target, now).has_value();
  }
  /// @return whether a request that was placed on the process may be sent now.
  [[nodiscard]] bool MaySend(RequestTicket ticket,
                             const TargetIdentity& target,
                             MonotonicTime now);
  [[nodiscard]] bool IsResting(const TargetIdentity& target,
                               MonotonicTime now) const;
  /// @return whether the process rests or leaves.
  [[nodiscard]] bool WantsNothing(const TargetIdentity& target,
                                  MonotonicTime now) const;

  /// @brief Applies the rate limit that a target declares in its response.
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
  [[nodiscard]] std::uint64_t ConfigurationVersion() const {
    return routes_.Version();
  }
  /// @return what the retry budgets of all services granted and refused.
  [[nodiscard]] retries::RetryCounts RetryCounts() const;
  /// @return services of which requests move from full regions to others.
  [[nodiscard]] std::size_t BalancedServices() const;

 private:
  struct Attempt {
    AttemptNumber number = 0;
    TargetIdentity target;
    MonotonicTime sent_at;
    Duration round_trip{0};
    Duration expected_wait{0};
    double load_at_send = 0;
    bool is_warm = false;
    bool is_relayed = false;
    bool is_open = true;
  };
  /// @brief What a request's route is found by.
  struct RouteQuery {
    std::string host;
    std::string target;
  };
  struct Request {
    RouteQuery query;
    /// Kept from arrival to the end, although the configuration may change.
    std::shared_ptr<const routing::Route> route;
    /// Version by which `allowed_regions` were last determined.
    std::uint64_t configuration = 0;
    ServiceName service;
    /// Kept from arrival to the end, although the configuration may change.
    std::shared_ptr<const routing::ClientAccount> account;
    /// Regions whose targets may run the request; empty: all.
    std::vector<RegionName> allowed_regions;
    /// Whether the route and the account allow no region in common.
    bool is_region_forbidden = false;
    bool waits_for_token = false;
    /// Until when the token that the request took can be given back.
    std::optional<MonotonicTime> token_valid_until;
    ObjectKey object;
    RequestFingerprint fingerprint;
    MonotonicTime deadline;
    admission::AdmissionRequest admission;
    /// Longest Retry-After for which the caller would wait.
    Duration longest_retry_after{0};
    std::vector<Attempt> attempts;
    std::uint32_t delivered_attempts = 0;  ///< Sends that reached a target.
    bool may_have_run = false;
    /// The latest response that reports a failure of its target.
    std::optional<AttemptNumber> failed_answer;
  };

  /// @brief Finds the route and the client account.
  /// @return why the request must not run; nullopt: it may.
  [[nodiscard]] std::optional<RequestFailure> Authorize(
      const CallerRequest& request,
      RequestStart& start,
      MonotonicTime now);
  /// @return the refusal of a request that this host may not answer before its
  /// end; nullopt: it will, or does not stop.
  [[nodiscard]] std::optional<RequestFailure> CheckStop(
      const RequestStart& start,
      MonotonicTime now) const;
  /// @return the longest time that sends of the route took lately, or take;
  /// nullopt: none has ended lately.
  [[nodiscard]] std::optional<Duration> LongestSend(const RequestStart& start,
                                                    MonotonicTime now) const;
  /// @return whether a newer configuration may be in force.
  [[nodiscard]] bool IsConfigurationStale(MonotonicTime now) const {
    return configuration_age_.overdue_at &&
           now >= *configuration_age_.overdue_at;
  }
  /// @return the refusal for `final_reason`, or for `temporary_reason` while
  /// the configuration may be outdated.
  [[nodiscard]] RequestFailure RefuseByConfiguration(
      FailureReason final_reason,
      FailureReason temporary_reason,
      MonotonicTime now);
  [[nodiscard]] retries::RetryBudget& RetryBudgetOf(const ServiceName& service);
  /// @return the processing times of the request's service, over all routes.
  [[nodiscard]] ServiceTimes& ServiceTimesOf(const Request& request);
  /// @return the processing times of the request's route at its service; those
  /// of the service until the route has some.
  [[nodiscard]] const ServiceTimes& TimesOf(const Request& request);
  void RecordWork(const Request& request, bool was_warm, Duration work);
  [[nodiscard]] std::uint32_t ColdSendLimit(const ServiceName& service,
                                            MonotonicTime now) const;
  /// @param regions that are allowed; empty: all.
  [[nodiscard]] std::optional<Placement> Place(
      const Request& request,
      std::span<const RegionName> regions,
      MonotonicTime now);
  /// @brief Places a request's first send according to the region plan.
  [[nodiscard]] std::optional<Placement> PlaceByRegionPlan(
      const Request& request,
      MonotonicTime now);
  [[nodiscard]] Duration MaxQueueWait(const Request& request) const;
  [[nodiscard]] admission::AdmissionRequest DescribeForAdmission(
      const Request& request,
      Duration caller_time_left);
  /// @return the longest wait at `placement` after which the response is not
  /// late.
  [[nodiscard]] Duration UsefulWait(const Request& request,
                                    const Placement& placement);
  /// @return the refusal of a request whose wait at `placement` is too long;
  /// nullopt: it is admitted.
  [[nodiscard]] std::optional<RequestFailure> CheckAdmission(
      const Request& request,
      const Placement& placement,
      MonotonicTime now);
  /// @return the slots per region; a resting target has none.
  [[nodiscard]] RegionSlots SlotsOf(const ServiceName& service,
                                    MonotonicTime now);
  /// @return the time until the first of the targets that may run the request
  /// has rested; nullopt unless all of them rest.
  [[nodiscard]] std::optional<Duration> ShortestRest(const Request& request,
                                                     MonotonicTime now);
  /// @param reason unless all targets rest.
  [[nodiscard]] RequestFailure RefuseWithoutTarget(const Request& request,
                                                   FailureReason reason,
                                                   MonotonicTime now);
  /// @return the utilization of the regions of which load reports are recent.
  [[nodiscard]] RegionUtilization UtilizationOf(const ServiceName& service,
                                                MonotonicTime now);
  /// @brief Moves the plan by the regions' utilization, a few times per second.
  void BalanceRegions(const ServiceName& service,
                      RegionPlan& plan,
                      MonotonicTime now);
  /// @return the demand that the configuration in force binds to regions.
  [[nodiscard]] std::span<const BoundDemand> BoundDemands();
  /// @brief Determines the regions anew if the configuration has changed.
  void UpdateRegions(Request& request);
  /// @return why the request must not be sent to any region now; nullopt: it
  /// may be sent to its regions.
  [[nodiscard]] std::optional<RequestFailure> CheckRegions(Request& request,
                                                           MonotonicTime now);
  [[nodiscard]] PlacementBasis BasisOf(const Request& request,
                                       MonotonicTime now) const;
  [[nodiscard]] Step Send(Request& request,
                          const Placement& placement,
                          MonotonicTime now);
  /// @brief Takes a token of the account's quota and sends the request.
  [[nodiscard]] Step AdmitAndSend(Request& request, MonotonicTime now);
  [[nodiscard]] Step ApplyAdmission(Request& request,
                                    const quota::AdmissionResult& result,
                                    MonotonicTime now);
  [[nodiscard]] RequestFailure RefuseByQuota(const Request& request,
                                             quota::Admission admission,
                                             MonotonicTime now);
  void GiveTokenBack(const Request& request, MonotonicTime now);
  [[nodiscard]] RequestFailure EndTokenWait(Request& request,
                                            MonotonicTime now);
  [[nodiscard]] Step SendFirst(Request& request, MonotonicTime now);
  [[nodiscard]] Step Retry(Request& request, MonotonicTime now);
  /// @param placement where the next send would go.
  [[nodiscard]] RequestFailure RefuseRetry(
      const Request& request,
      const std::optional<Placement>& placement,
      MonotonicTime now);
  [[nodiscard]] Step Finish(RequestTicket ticket,
                            Request& request,
                            const RequestFailure& failure,
                            MonotonicTime now);
  void RecordOutcome(const Request& request,
                     const Attempt& attempt,
                     AttemptEnd end,
                     MonotonicTime now);
  [[nodiscard]] Duration RetryAfter(Duration wait);
  /// @return a random time up to `wait`, so that callers return at a steady
  /// rate.
  [[nodiscard]] Duration SpreadRetryAfter(Duration wait);
  std::vector<AttemptNumber> AbandonOpenAttempts(Request& request);
  /// @brief Abandons the open attempts; those sent before `answered` count as
  /// overtaken by it.
  std::vector<AttemptNumber> AbandonOvertakenAttempts(Request& request,
                                                      AttemptNumber answered,
                                                      MonotonicTime now);
  /// @return the regions of the hosts of which one must send for this one.
  [[nodiscard]] std::vector<RegionName> HelperRegions(
      const Request& request) const;
  /// @return when the oldest of this host's own open sends was sent.
  [[nodiscard]] std::optional<MonotonicTime> OutstandingSince() const;
  void ApplyLoadReport(TargetState& target,
                       const LoadReport& report,
                       MonotonicTime now);

  Options options_;
  LowestCost lowest_cost_;
  routing::RouteTable& routes_;
  TargetDirectory& targets_;
  ports::RandomSource& random_;
  RegionDistances distances_;
  CrashTracker crashes_;
  RateLimits limits_;
  TargetReach reach_;
  membership::HostShare share_{.hosts = 1};
  ConfigurationAge configuration_age_;
  bool is_store_away_ = false;
  /// When all requests must be answered; nullopt: this host does not stop.
  std::optional<MonotonicTime> answers_due_;
  quota::QuotaGate* quotas_ = nullptr;
  /// Requests that wait for a token, in the order of arrival. Some of them may
  /// have ended.
  std::unordered_map<ClientAccountName, std::deque<RequestTicket>> waiting_;
  RequestTicket last_ticket_ = 0;
  std::unordered_map<RequestTicket, Request> requests_;
  std::map<ServiceName, retries::RetryBudget> retry_budgets_;
  std::map<ServiceName, ServiceTimes> times_;
  std::map<std::pair<ServiceName, std::string>, ServiceTimes> route_times_;
  std::map<std::pair<ServiceName, std::string>, RecentLongest> longest_sends_;
  std::map<ServiceName, admission::ServiceAdmission> admissions_;
  admission::ReturningCallers returning_callers_;
  std::map<ServiceName, RegionPlan> plans_;
  std::map<ServiceName, MonotonicTime> balanced_at_;
  DecayedRate arrivals_;  ///< At this host.
  std::vector<BoundDemand> bound_demands_;
  std::uint64_t bound_demands_version_ = 0;  ///< Of the configuration.
  std::map<ServiceName, RegionLoad> loads_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_REQUEST_PATH_H_
