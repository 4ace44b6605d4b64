#ifndef MEDLARCROFT_EMULATION_EMULATION_H_
#define MEDLARCROFT_EMULATION_EMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "medlarcroft/emulation/emulated_deployment.h"
#include "medlarcroft/emulation/emulated_host.h"
#include "medlarcroft/emulation/emulated_target.h"
#include "medlarcroft/emulation/emulation_metrics.h"
#include "medlarcroft/emulation/event_queue.h"

namespace medlarcroft::emulation {

/// @brief Options of the hosts in a run.
struct EmulationOptions {
  request_path::RequestPath::Options path;
  /// Whether hosts report their placements to the others of their region.
  bool shares_placements = true;
  /// Whether hosts forward load reports to the others of their region.
  bool shares_loads = true;
  std::uint64_t seed = 1;
};

/// @brief A deployment in virtual time: callers, hosts that run the production
/// request path, and targets. As in a real deployment, hosts know of each
/// other's work only through load reports in responses and placement reports.
class Emulation {
 public:
  /// @param deployment must outlive the emulation.
  Emulation(const EmulatedDeployment& deployment,
            const EmulationOptions& options);

  [[nodiscard]] EmulationMetrics Run();

 private:
  struct Caller {
    const EmulatedRequestClass* request_class = nullptr;
    std::size_t region = 0;
    std::string object;
    Duration work{0};
    MonotonicTime arrived;
    std::uint32_t retries_left = 0;
    request_path::RequestFingerprint fingerprint;
    bool crashes_targets = false;
  };
  struct AttemptState {
    std::size_t target = 0;
    EmulatedTarget::WorkId work = 0;  ///< 0: not at the target.
    bool is_abandoned = false;
  };
  struct ActiveRequest {
    Caller caller;
    std::size_t host = 0;
    request_path::RequestTicket ticket = 0;
    bool is_over = false;
    bool is_host_cut_off = false;  ///< On arrival.
    std::uint32_t arrivals = 0;    ///< At targets.
    std::map<request_path::AttemptNumber, AttemptState> attempts;
  };
  using ActiveRequestPointer = std::shared_ptr<ActiveRequest>;

  void MakeTargets();
  void MakeHosts();
  void PlanFaults();
  void SetFault(const EmulatedFault& fault, bool is_on);
  void SetTargetFault(const EmulatedFault& fault, bool is_on);
  void SetPartitionedHosts(double fraction);
  void SetCutOffHosts(const EmulatedFault& fault, bool is_on);
  /// @brief Tries connections for hosts that may be cut off from all targets.
  void ProbeReach();
  void FailDirectly(const ActiveRequestPointer& active,
                    request_path::AttemptNumber attempt);
  /// @brief Has another host send, or the next one if that one refuses.
  /// @param tried hosts that refused.
  void SendThroughHelper(const ActiveRequestPointer& active,
                         const request_path::SendAttempt& attempt,
                         std::size_t tried);
  [[nodiscard]] std::vector<request_path::RelayHelper> HelpersOf(
      std::size_t host,
      const RegionName& region) const;
  /// @return how the helper, which is asked now, ends the send.
  [[nodiscard]] request_path::HelperSign AskHelper(std::size_t helper,
                                                   std::size_t target);
  /// @brief Restarts the next of the affected hosts, and so on until the fault
  /// ends.
  void RestartNextHost(const EmulatedFault& fault, std::size_t count);
  void RestartHost(std::size_t host);
  void SetEndedHosts(double fraction, bool is_on);
  /// @brief Ends the requests that the host serves, unanswered.
  void EndRequestsOf(std::size_t host);
  /// @return a host that the callers of the region can use; nullopt: none runs.
  [[nodiscard]] std::optional<std::size_t> ChooseHost(std::size_t region);
  void SetHostListLost(bool is_lost);
  void UpdateHostLists();
  void RecordArrival(const ActiveRequestPointer& active, std::size_t target);
  void SendCrashingRequest(const EmulatedFault& fault);
  /// @brief Fails all requests at the target and schedules its restart.
  void CrashTarget(std::size_t target);
  void RestartTarget(std::size_t target);
  void RegisterTargets();
  void ConnectReportSinks();
  void ConnectReportSinks(std::size_t host);
  void AdvanceRateLimits();
  void SendToOtherHosts(std::size_t host,
                        const std::function<void(EmulatedHost&)>& deliver);
  void RecordLimitUse(std::size_t target);
  /// @brief Counts a request that reaches a target against the wishes that the
  /// target told its host.
  void RecordUnwantedRequest(std::size_t target, std::size_t host);
  /// @brief Rejects a request and asks its host for rest.
  void TurnAway(const ActiveRequestPointer& active,
                request_path::AttemptNumber attempt,
                Duration latency);
  /// @brief Tells a host what the target says about itself.
  void DeliverNotice(std::size_t target, std::size_t host);
  void ScheduleNextArrival(std::size_t class_index, std::size_t region);
  [[nodiscard]] double RateAt(std::size_t class_index,
                              std::size_t region,
                              Duration at) const;
  [[nodiscard]] double DemandShare(std::size_t region) const;
  [[nodiscard]] Caller MakeCaller(std::size_t class_index, std::size_t region);

  void SendToHost(const Caller& caller);
  void ExecuteStep(const ActiveRequestPointer& active,
                   const request_path::Step& step);
  void StartAttempt(const ActiveRequestPointer& active,
                    const request_path::SendAttempt& attempt);
  void Deliver(const ActiveRequestPointer& active,
               request_path::AttemptNumber attempt,
               Duration latency);
  void EndAttempt(const ActiveRequestPointer& active,
                  request_path::AttemptNumber attempt,
                  request_path::AttemptEnd end);
  void SharePlacement(const ActiveRequest& active,
                      const request_path::SendAttempt& attempt);
  void ShareLoad(const ActiveRequest& active,
                 const request_path::TargetIdentity& target,
                 const request_path::LoadReport& report);
  void Finish(const ActiveRequestPointer& active);
  void CancelAttempt(AttemptState& state, Duration latency);
  void OnRefused(const Caller& caller,
                 const request_path::RequestFailure& ending);
  void RecordOutcome(const Caller& caller, bool is_served, bool is_refused);

  [[nodiscard]] Duration Elapsed() const { return events_.Now() - start_time_; }
  [[nodiscard]] Duration LatencyTo(const std::string& from,
                                   std::size_t to) const;
  [[nodiscard]] double Exponential();
  [[nodiscard]] double Normal();

  /// @brief What a target last told a host about itself.
  struct ToldHost {
    MonotonicTime rest_from;
    MonotonicTime rest_until;
    std::uint32_t requests_in_rest = 0;
    std::optional<MonotonicTime> leaving_at;
  };
  struct TargetInstance {
    request_path::TargetRecord record;
    std::string service;
    std::unique_ptr<EmulatedTarget> target;
    bool is_unreachable = false;  ///< By a fault.
    bool has_crashed = false;     ///< And has not restarted.
    double loss_probability = 0;
    double rejection_probability = 0;
    std::optional<double> limit;
    MonotonicTime limit_changed_at;
    /// Requests within the rate limit window, while a limit is declared.
    std::deque<MonotonicTime> arrivals;
    std::optional<Duration> rest;  ///< Asked for in responses.
    bool says_leaving = false;
    MonotonicTime cold_until{};
    std::deque<MonotonicTime> cold_arrivals;  ///< Within a second.
    std::map<std::size_t, ToldHost> told_hosts;
    /// Accepted since the last crash, including those that have ended.
    std::vector<std::pair<ActiveRequestPointer, request_path::AttemptNumber>>
        accepted_attempts;
  };

  /// @brief What a host has to do with the list of hosts.
  struct HostListing {
    membership::HostListView view;
    bool has_row = true;
  };
  /// @brief Requests of a service within two retry windows, and repeats within
  /// one.
  struct RepeatWindow {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> repeats;
  };
  /// @return the requests of the window that ends now, or of the one that ended
  /// half a window or a window before, whichever has most.
  [[nodiscard]] std::size_t CountedRequests(
      const std::deque<MonotonicTime>& requests) const;

  const EmulatedDeployment& deployment_;
  request_path::RequestPath::Options path_options_;
  bool shares_placements_;
  bool shares_loads_;
  EventQueue events_;
  MonotonicTime start_time_;
  SeededRandom random_;
  std::vector<TargetInstance> targets_;
  std::map<TargetName, std::size_t> target_indices_;
  std::vector<std::unique_ptr<EmulatedHost>> hosts_;
  std::vector<std::vector<std::size_t>> hosts_by_region_;
  std::vector<bool> is_partitioned_;  ///< By host index.
  std::vector<bool> has_ended_;       ///< By host index.
  /// When the host was cut off from all targets, by host index; nullopt: it is
  /// not.
  std::vector<std::optional<MonotonicTime>> cut_off_since_;
  Duration refusal_delay_{0};  ///< Of connections of hosts that are cut off.
  std::vector<HostListing> listings_;  ///< By host index.
  bool is_host_list_lost_ = false;
  std::vector<std::vector<std::weak_ptr<ActiveRequest>>> active_by_host_;
  std::map<std::string, RepeatWindow> repeat_windows_;
  double demand_factor_ = 1.0;
  std::uint64_t last_fingerprint_ = 0;
  EmulationMetrics metrics_;
};

}  // namespace medlarcroft::emulation

#endif  // MEDLARCROFT_EMULATION_EMULATION_H_
