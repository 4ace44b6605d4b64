// The part of Simulator that models transport and targets.
#include "scenarios/simulator.h"

namespace medlarcroft::scenarios {
namespace {

using decision::AttemptOutcome;

constexpr Duration kDrainLimit = std::chrono::seconds(3);
constexpr Duration kOneWayLatency = std::chrono::milliseconds(1);
constexpr Duration kSilenceDetectionTime = std::chrono::milliseconds(300);
constexpr Duration kSilenceDuration = std::chrono::seconds(1);
// A service time is the sum of this many exponential stages, so that its
// standard deviation is half of its mean.
constexpr int kServiceTimeStages = 4;
constexpr double kStallingFraction = 0.02;

}  // namespace

void Simulator::Start(std::size_t host, const decision::Dispatch& dispatch) {
  Request& request = hosts_[host].requests.at(dispatch.attempt.ticket.id);
  TargetModel& target = targets_.at(dispatch.target.Value());
  const ServiceModel& model = deployment_.services[request.service];
  request.attempts[dispatch.attempt.number].target = &target;
  if (ServiceFigures* figures = FiguresOf(request)) {
    if (dispatch.kind == decision::DispatchKind::kHedge)
      ++figures->hedges;
    if (dispatch.kind == decision::DispatchKind::kRetry)
      ++figures->retries;
  }

  RecordNewWork(target);
  if (target.FaultAt(FaultKind::kLeaving, now_) != nullptr) {
    ScheduleAttemptEnd(host, dispatch.attempt, AttemptOutcome::kTargetLeaving,
                       kOneWayLatency);
    return;
  }
  const Fault* silent = target.FaultAt(FaultKind::kSilent, now_);
  if (silent != nullptr && now_ < silent->from + kSilenceDuration) {
    SimulateSilentConnection(host, dispatch, target, model);
    return;
  }
  if (target.FaultAt(FaultKind::kFailing, now_) != nullptr) {
    ++request.runs;
    ScheduleAttemptEnd(host, dispatch.attempt, AttemptOutcome::kServerError,
                       kOneWayLatency);
    return;
  }
  RunOnTarget(host, dispatch, target, model);
}

void Simulator::RecordNewWork(const TargetModel& target) {
  for (const FaultKind kind :
       {FaultKind::kLeaving, FaultKind::kLeavingQuietly}) {
    const Fault* leaving = target.FaultAt(kind, now_);
    if (leaving == nullptr)
      continue;
    const Duration since = now_ - leaving->from;
    figures_.last_new_work = std::max(figures_.last_new_work, since);
    if (since > kDrainLimit)
      ++figures_.new_work_after_drain;
  }
}

void Simulator::RunOnTarget(std::size_t host,
                            const decision::Dispatch& dispatch,
                            TargetModel& target,
                            const ServiceModel& model) {
  Request& request = hosts_[host].requests.at(dispatch.attempt.ticket.id);
  Attempt& attempt = request.attempts.at(dispatch.attempt.number);
  const double mean = ToSeconds(model.service_time) *
                      (1.0 + model.contention * target.Busy() / target.Slots());
  ++request.runs;
  if (!model.config.request_class.IsIdempotent() && request.runs > 1) {
    ++figures_.double_runs;
  }
  attempt.is_working = true;
  target.Begin();

  Duration length{};
  for (int i = 0; i < kServiceTimeStages; ++i)
    length += Exponential(mean / kServiceTimeStages);
  length = FromSeconds(ToSeconds(length) * target.SlowdownAt(now_));
  const Fault* stalling = target.FaultAt(FaultKind::kStalling, now_);
  if (stalling != nullptr && random_.NextUnit() < kStallingFraction) {
    length = FromSeconds(ToSeconds(length) * stalling->factor);
  }

  const Duration left = dispatch.deadline - Now();
  const bool is_stopped = left < length && variant_.options.queue_bound !=
                                               decision::QueueBound::kUnbounded;
  const bool is_failing =
      target.FaultAt(FaultKind::kFailingLate, now_) != nullptr;
  const AttemptOutcome outcome =
      is_failing ? AttemptOutcome::kServerError : AttemptOutcome::kAnswered;
  ScheduleAttemptEnd(host, dispatch.attempt,
                     is_stopped ? AttemptOutcome::kTimedOut : outcome,
                     is_stopped ? left : length);
}

void Simulator::SimulateSilentConnection(std::size_t host,
                                         const decision::Dispatch& dispatch,
                                         TargetModel& target,
                                         const ServiceModel& model) {
  // Half of the requests still reach the target, which works on them although
  // nobody waits, and stops at their deadline.
  if (random_.NextUnit() < 0.5) {
    ++hosts_[host].requests.at(dispatch.attempt.ticket.id).runs;
    target.Begin();
    const Duration length = std::min(Exponential(ToSeconds(model.service_time)),
                                     dispatch.deadline - Now());
    Schedule(now_ + length, [&target] { target.End(); });
  }

  const Duration left = dispatch.deadline - Now();
  const bool is_found = kSilenceDetectionTime < left;
  const auto id = dispatch.attempt;
  Schedule(now_ + std::min(left, kSilenceDetectionTime),
           [this, host, id, is_found, &target] {
             if (is_found) {
               hosts_[host].scheduler->OnSilentConnection(
                   TargetName(target.Name()), Now());
             }
             End(host, id,
                 is_found ? AttemptOutcome::kSilentConnection
                          : AttemptOutcome::kTimedOut);
           });
}

void Simulator::ScheduleAttemptEnd(std::size_t host,
                                   decision::AttemptId id,
                                   decision::AttemptOutcome outcome,
                                   Duration delay) {
  Schedule(now_ + delay, [this, host, id, outcome] { End(host, id, outcome); });
}

void Simulator::End(std::size_t host,
                    decision::AttemptId id,
                    decision::AttemptOutcome outcome) {
  Request& request = hosts_[host].requests.at(id.ticket.id);
  Attempt& attempt = request.attempts.at(id.number);
  if (attempt.has_ended)
    return;
  attempt.has_ended = true;
  if (attempt.is_working)
    attempt.target->End();

  ApplyNextStep(host, id.ticket, outcome,
                hosts_[host].scheduler->OnAttemptEnd(id, outcome, Now()));
  Advance(host);
}

void Simulator::ApplyNextStep(std::size_t host,
                              decision::RequestTicket ticket,
                              decision::AttemptOutcome outcome,
                              const decision::NextStep& step) {
  Request& request = hosts_[host].requests.at(ticket.id);
  if (const auto* dispatch = std::get_if<decision::Dispatch>(&step)) {
    Start(host, *dispatch);
  } else if (const auto* refusal = std::get_if<decision::Refusal>(&step)) {
    RecordRefusal(request, *refusal);
  } else if (const auto* finished = std::get_if<decision::Finished>(&step)) {
    RecordAnswer(request, outcome == AttemptOutcome::kServerError);
    for (const decision::AttemptId& id : finished->to_cancel) {
      ScheduleAttemptEnd(host, id, AttemptOutcome::kCancelled, kOneWayLatency);
    }
  }
}

}  // namespace medlarcroft::scenarios
