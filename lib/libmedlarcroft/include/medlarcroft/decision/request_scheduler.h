#ifndef MEDLARCROFT_DECISION_REQUEST_SCHEDULER_H_
#define MEDLARCROFT_DECISION_REQUEST_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/admission.h"
#include "medlarcroft/decision/attempt_rules.h"
#include "medlarcroft/decision/explanation.h"
#include "medlarcroft/decision/placement.h"
#include "medlarcroft/decision/request.h"
#include "medlarcroft/decision/request_table.h"
#include "medlarcroft/decision/service_config.h"
#include "medlarcroft/decision/service_state.h"
#include "medlarcroft/decision/target_table.h"
#include "medlarcroft/membership/host_share.h"
#include "medlarcroft/ports/random_source.h"
#include "medlarcroft/ports/slot_source.h"

namespace medlarcroft::decision {

/// @brief Decides for one entry host which requests are dispatched, queued or
/// refused, and which target each of them is sent to.
///
/// It does no I/O and starts no threads. The caller serializes all calls with a
/// lock, reports events and carries out the returned actions. `now` must never
/// decrease between calls. After each call, `NextWake` returns when `Advance`
/// is due; if a slot was released while requests are queued, it is due
/// immediately.
class RequestScheduler {
 public:
  /// @param random must outlive the scheduler.
  RequestScheduler(const SchedulerOptions& options,
                   ports::RandomSource& random);
  /// @param slots must grant each slot at dispatch; must outlive the scheduler.
  RequestScheduler(const SchedulerOptions& options,
                   ports::RandomSource& random,
                   ports::SlotSource& slots);

  /// Replaces limits, targets, weights and shares. Current requests and
  /// measurements are kept; requests that are queued for a removed service are
  /// refused by the next `Advance`.
  void Configure(std::span<const ServiceConfig> services, MonotonicTime now);

  /// Decides whether a new request is dispatched, queued or refused.
  [[nodiscard]] Admission Submit(const RequestDescription& description,
                                 MonotonicTime now);

  /// Reports the end of an attempt; must be called once for each attempt.
  /// @return AwaitOtherAttempt for an unknown attempt and for one whose request
  /// has already been answered: there is nothing to pass to the caller.
  [[nodiscard]] NextStep OnAttemptEnd(AttemptId attempt,
                                      AttemptOutcome outcome,
                                      MonotonicTime now);

  /// Reports that the caller has abandoned the request.
  /// @return attempts to cancel; each must be reported as kCancelled once it
  /// has been cancelled.
  [[nodiscard]] std::vector<AttemptId> Cancel(RequestTicket ticket,
                                              MonotonicTime now);

  /// @return whether the request may have run so far; kUnknown while an attempt
  /// is running, and for a request that has ended.
  [[nodiscard]] RunState RunStateOf(RequestTicket ticket) const;

  /// Dispatches, hedges and expires the requests that are due.
  [[nodiscard]] std::vector<Action> Advance(MonotonicTime now);
  /// @return when `Advance` is due, possibly in the past; nullopt if it is not
  /// due before another call has been made.
  [[nodiscard]] std::optional<MonotonicTime> NextWake() const;

  /// Reports the target's own count of outstanding requests from all hosts.
  /// @param age time since the target took the count.
  void OnTargetReport(const TargetName& target,
                      std::uint32_t outstanding,
                      Duration age,
                      MonotonicTime now);
  /// Reports that a connection to the target was found silent: it is open, but
  /// no data arrives. For the next second, timeouts and lost connections are
  /// not counted as failures of the target; failures to connect still are.
  void OnSilentConnection(const TargetName& target, MonotonicTime now);
  /// Reports that the target is leaving: it gets no new requests.
  /// @return whether this was not known.
  bool MarkLeaving(const TargetName& target, MonotonicTime now);
  /// Reports that the target, queried at `queried_at`, is not leaving. This
  /// overrides an earlier report by the target itself, but not one made by an
  /// operator or the target's host.
  void MarkStaying(const TargetName& target,
                   MonotonicTime queried_at,
                   MonotonicTime now);

  /// Reports that the target wants no requests from this host for `rest`, of
  /// which ten minutes count at most.
  /// @return until when it gets none, if it did not rest before.
  std::optional<MonotonicTime> OnTargetRest(const TargetName& target,
                                            Duration rest,
                                            MonotonicTime now);
  /// @return the targets whose rest has ended, each once.
  [[nodiscard]] std::vector<TargetName> TakeEndedRests(MonotonicTime now) {
    return targets_.TakeEndedRests(now);
  }
  [[nodiscard]] bool IsResting(const TargetName& target,
                               MonotonicTime now) const;
  /// @return whether a request that was dispatched to the target may be sent
  /// now.
  [[nodiscard]] bool MaySend(const TargetName& target, MonotonicTime now) const;

  [[nodiscard]] std::optional<ServiceLoad> Load(const ServiceName& service,
                                                MonotonicTime now) const;
  [[nodiscard]] std::vector<ServiceLoad> Loads(MonotonicTime now) const;
  [[nodiscard]] std::vector<TargetObservationReport> Observations(
      MonotonicTime now) const;
  /// @return nullopt for an unknown service.
  [[nodiscard]] std::optional<Explanation> Explain(const ServiceName& service,
                                                   MonotonicTime now) const;

 private:
  [[nodiscard]] AdmissionInputs AdmissionInputsFor(ServiceIndex service,
                                                   FairQueue::FlowIndex flow,
                                                   Duration time_left,
                                                   MonotonicTime now) const;
  [[nodiscard]] Refusal Refuse(ServiceIndex service,
                               RefusalReason reason,
                               const AdmissionResult& result,
                               MonotonicTime now);
  [[nodiscard]] Queued Enqueue(RequestState& request,
                               bool at_front,
                               MonotonicTime now);
  /// @return nullopt when no target has a free slot.
  [[nodiscard]] std::optional<Dispatch> TryDispatch(RequestState& request,
                                                    DispatchKind kind,
                                                    MonotonicTime now);
  [[nodiscard]] std::optional<TargetIndex> TakeSlot(ServiceIndex service,
                                                    MonotonicTime now);
  void SetHedgeTimer(RequestState& request, MonotonicTime now);

  void FinishAttempt(RequestState& request,
                     AttemptState& attempt,
                     AttemptOutcome outcome,
                     MonotonicTime now);
  void RecordOutcome(const RequestState& request,
                     const AttemptState& attempt,
                     AttemptOutcome outcome,
                     MonotonicTime now);
  [[nodiscard]] NextStep Answer(RequestState& request);
  [[nodiscard]] NextStep RetryOrGiveUp(RequestState& request,
                                       AttemptOutcome outcome,
                                       MonotonicTime now);
  [[nodiscard]] std::optional<RefusalReason> RetryRefusalReason(
      const RequestState& request,
      const AttemptRules& rules,
      MonotonicTime now);
  [[nodiscard]] NextStep GiveUp(RequestState& request,
                                RefusalReason reason,
                                MonotonicTime now);

  [[nodiscard]] bool MayHedge(ServiceIndex service) const;
  void Hedge(RequestState& request,
             MonotonicTime now,
             std::vector<Action>& actions);
  void Expire(RequestState& request,
              MonotonicTime now,
              std::vector<Action>& actions);
  void ExpireUnservableRequests(MonotonicTime now,
                                std::vector<Action>& actions);
  void DispatchQueued(MonotonicTime now, std::vector<Action>& actions);
  [[nodiscard]] std::optional<ServiceIndex> NextBackloggedService() const;
  void ChargeService(ServiceIndex service);

  [[nodiscard]] std::optional<ServiceIndex> FindService(
      const ServiceName& service) const;
  [[nodiscard]] ServiceLoad LoadOf(ServiceIndex service,
                                   MonotonicTime now) const;
  [[nodiscard]] TargetExplanation ExplainTarget(TargetIndex target,
                                                MonotonicTime now) const;

  SchedulerOptions options_;
  ports::RandomSource& random_;
  std::unique_ptr<PlacementStrategy> placement_;
  std::vector<ServiceState> services_;
  std::unordered_map<ServiceName, ServiceIndex> service_indexes_;
  TargetTable targets_;
  RequestTable requests_;
  double service_virtual_time_ = 0;
  /// The retry limits are those of this host alone.
  membership::HostShare retry_share_;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_REQUEST_SCHEDULER_H_
