// RequestScheduler: handles the end of an attempt and decides how its request
// continues.
#include <algorithm>
#include <variant>

#include "medlarcroft/decision/request_scheduler.h"

namespace medlarcroft::decision {
namespace {

constexpr Duration kShedRampDuration = std::chrono::seconds(2);
// Longer than it takes a cancellation or an expired deadline to stop the
// attempt at a target in the same failure domain.
constexpr Duration kStopGracePeriod = std::chrono::milliseconds(10);

}  // namespace

NextStep RequestScheduler::OnAttemptEnd(AttemptId id,
                                        AttemptOutcome outcome,
                                        MonotonicTime now) {
  RequestState* request = requests_.Find(id.ticket);
  AttemptState* attempt = request == nullptr ? nullptr : request->Find(id);
  if (attempt == nullptr || !attempt->is_running)
    return AwaitOtherAttempt{};

  FinishAttempt(*request, *attempt, outcome, now);
  const bool is_other_running = !request->RunningAttempts().empty();
  if (request->is_answered) {
    if (!is_other_running)
      requests_.Erase(id.ticket);
    return AwaitOtherAttempt{};
  }

  const AttemptRules& rules = RulesFor(outcome);
  if (rules.has_answer && !rules.is_retryable)
    return Answer(*request);
  if (is_other_running)
    return AwaitOtherAttempt{};

  requests_.ClearTimer(*request);
  return RetryOrGiveUp(*request, outcome, now);
}

void RequestScheduler::FinishAttempt(RequestState& request,
                                     AttemptState& attempt,
                                     AttemptOutcome outcome,
                                     MonotonicTime now) {
  const AttemptRules& rules = RulesFor(outcome);
  attempt.is_running = false;
  request.run_state = std::max(request.run_state, rules.run_state);
  --services_[request.service].outstanding;
  RecordOutcome(request, attempt, outcome, now);

  switch (rules.release) {
    case SlotRelease::kImmediately:
      targets_.Release(attempt.target, request.service, now);
      break;
    case SlotRelease::kAfterGracePeriod:
      targets_.ReleaseAt(attempt.target, request.service,
                         now + kStopGracePeriod);
      break;
    case SlotRelease::kAfterDeadline:
      targets_.ReleaseAt(attempt.target, request.service,
                         std::max(now, request.deadline) + kStopGracePeriod);
      break;
  }
}

void RequestScheduler::RecordOutcome(const RequestState& request,
                                     const AttemptState& attempt,
                                     AttemptOutcome outcome,
                                     MonotonicTime now) {
  ServiceState& service = services_[request.service];
  TargetState& target = targets_.At(attempt.target);
  const Duration elapsed = now - attempt.started_at;
  const std::size_t members = targets_.Members(request.service).size();

  if (outcome == AttemptOutcome::kAnswered) {
    target.health.OnAnswer(service.RelativeServiceTime(elapsed), elapsed);
    service.OnServiceTime(elapsed, members);
    service.budget.OnEarned(now);
  }
  if (outcome == AttemptOutcome::kTimedOut) {
    service.OnServiceTime(elapsed, members);
  }
  // A target that asked for rest ramps up after that.
  const bool is_busy = outcome == AttemptOutcome::kShed ||
                       outcome == AttemptOutcome::kUnprovedRefusal;
  if (is_busy && now >= target.rests_until)
    target.ramp.Halve(now, kShedRampDuration);
  if (outcome == AttemptOutcome::kTargetLeaving) {
    targets_.MarkLeaving(attempt.target, now);
  }

  const bool is_excused = now < target.rests_until ||
                          (now < target.failures_excused_until &&
                           (outcome == AttemptOutcome::kTimedOut ||
                            outcome == AttemptOutcome::kConnectionLost));
  if (RulesFor(outcome).is_target_failure && !is_excused) {
    target.health.OnFailure();
  }
  if (options_.is_ejection_enabled) {
    targets_.EjectIfOutlier(attempt.target, now);
  }
}

NextStep RequestScheduler::Answer(RequestState& request) {
  Finished finished{.to_cancel = request.RunningAttempts()};
  request.is_answered = true;
  requests_.ClearTimer(request);
  if (finished.to_cancel.empty())
    requests_.Erase(request.ticket);
  return finished;
}

NextStep RequestScheduler::RetryOrGiveUp(RequestState& request,
                                         AttemptOutcome outcome,
                                         MonotonicTime now) {
  const AttemptRules& rules = RulesFor(outcome);
  if (const auto reason = RetryRefusalReason(request, rules, now)) {
    // A complete answer that reports an error is still passed to the caller.
    if (rules.has_answer)
      return Answer(request);
    return GiveUp(request, *reason, now);
  }

  if (auto dispatch = TryDispatch(request, DispatchKind::kRetry, now)) {
    return *dispatch;
  }
  if (targets_.UsableSlots(request.service) == 0) {
    if (rules.has_answer)
      return Answer(request);
    return GiveUp(request, RefusalReason::kNoTarget, now);
  }
  return Enqueue(request, /*at_front=*/true, now);
}

std::optional<RefusalReason> RequestScheduler::RetryRefusalReason(
    const RequestState& request,
    const AttemptRules& rules,
    MonotonicTime now) {
  ServiceState& service = services_[request.service];
  if (!MayRetry(rules, service.config.request_class.IsIdempotent())) {
    return RefusalReason::kRetryNotAllowed;
  }
  if (request.attempts.size() >= options_.max_attempts) {
    return RefusalReason::kAttemptsExhausted;
  }
  if (request.deadline - now < service.latency.Mean()) {
    return RefusalReason::kDeadlineTooShort;
  }
  if (!rules.is_retry_budget_exempt &&
      !service.budget.TryTake(retry_share_, now))
    return RefusalReason::kRetryBudgetSpent;
  return std::nullopt;
}

NextStep RequestScheduler::GiveUp(RequestState& request,
                                  RefusalReason reason,
                                  MonotonicTime now) {
  const ServiceState& service = services_[request.service];
  Refusal refusal = Refuse(request.service, reason, {.must_wait = true}, now);
  refusal.run_state = request.run_state;
  const bool is_retry_useful = service.config.request_class.IsIdempotent() ||
                               request.run_state == RunState::kNotRun;
  if (!is_retry_useful)
    refusal.retry_after = Duration(0);
  requests_.Erase(request.ticket);
  return refusal;
}

bool RequestScheduler::MayHedge(ServiceIndex service) const {
  const ServiceState& state = services_[service];
  const catalogue::RequestClass& request_class = state.config.request_class;
  if (!options_.is_hedging_enabled || !request_class.may_hedge)
    return false;
  if (!request_class.IsIdempotent() || !state.latency.IsMeasured()) {
    return false;
  }
  // Under load, a hedge would take a slot from another caller's first attempt.
  const double limit =
      targets_.UsableSlots(service) * options_.hedge_utilisation_limit;
  return state.queue.IsEmpty() && state.outstanding < limit;
}

void RequestScheduler::Hedge(RequestState& request,
                             MonotonicTime now,
                             std::vector<Action>& actions) {
  ServiceState& service = services_[request.service];
  if (!MayHedge(request.service))
    return;
  if (request.deadline - now < service.latency.Median())
    return;
  if (service.budget.Remaining(retry_share_, now) == 0)
    return;

  const auto dispatch = TryDispatch(request, DispatchKind::kHedge, now);
  if (!dispatch)
    return;
  static_cast<void>(service.budget.TryTake(retry_share_, now));
  actions.emplace_back(*dispatch);
}

}  // namespace medlarcroft::decision
