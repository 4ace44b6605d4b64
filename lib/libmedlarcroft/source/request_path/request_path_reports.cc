#include <algorithm>

#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

namespace {

// Shorter processing times are not distinguished.
constexpr double kMinWorkSeconds = 1e-4;

}  // namespace

void RequestPath::RecordOutcome(const Request& request,
                                const Attempt& attempt,
                                AttemptEnd end,
                                MonotonicTime now) {
  const ServiceTimes& times = TimesOf(request);
  TargetState* const target = targets_.Find(attempt.target);
  if (target == nullptr) {
    return;
  }
  // A host that is cut off, lost its helper or sent nothing, learns nothing of
  // the target.
  const bool is_own_failure =
      end == AttemptEnd::kNoHelper || end == AttemptEnd::kHelperLost ||
      end == AttemptEnd::kWithheld ||
      (reach_.IsCutOff() && !attempt.is_relayed &&
       (end == AttemptEnd::kNeverSent || end == AttemptEnd::kLost ||
        end == AttemptEnd::kTimedOut));
  if (is_own_failure) {
    target->OnAbandoned();
    return;
  }
  const bool is_answer =
      end == AttemptEnd::kAnswered || end == AttemptEnd::kTargetFailed ||
      end == AttemptEnd::kNotRun || end == AttemptEnd::kWrongTarget;
  if (is_answer && !attempt.is_relayed) {
    reach_.OnAnswered(now);
  }
  std::optional<double> relative;
  if (end == AttemptEnd::kAnswered || end == AttemptEnd::kTimedOut) {
    longest_sends_[{request.service, request.route->name}].OnTook(
        now - attempt.sent_at, now);
    const double seconds = ToSeconds(
        now - attempt.sent_at - attempt.round_trip - attempt.expected_wait);
    const double work = std::max(seconds, 0.0);
    const bool was_warm = attempt.is_warm || times.LooksWarm(FromSeconds(work));
    // What the target reports of its machine is no property of the target.
    const double slowdown = target->SlowdownAt(now);
    relative = work / slowdown /
               std::max(ToSeconds(times.Work(was_warm)), kMinWorkSeconds);
    const bool had_free_slot =
        attempt.load_at_send < std::max(target->Record().slots, 1U);
    if (end == AttemptEnd::kAnswered && had_free_slot) {
      const Duration usual_work =
          FromSeconds(work / slowdown / target->RelativeTime(now));
      RecordWork(request, was_warm, usual_work);
    }
  }
  target->OnEnded(end, relative, now);
  if (end == AttemptEnd::kWrongTarget) {
    targets_.MarkReplaced(attempt.target);
  }
}

void RequestPath::OnPlacedByOtherHost(TargetNumber target, ObjectKey object) {
  if (TargetState* const state = targets_.Find(target)) {
    state->OnSentByOtherHost(object);
  }
}

void RequestPath::OnReportedLoad(TargetNumber target,
                                 std::uint32_t requests,
                                 MonotonicTime now) {
  if (TargetState* const state = targets_.Find(target)) {
    ApplyLoadReport(*state, {.running = requests}, now);
  }
}

void RequestPath::OnRateLimit(RequestTicket ticket,
                              AttemptNumber attempt_number,
                              std::optional<double> limit,
                              MonotonicTime now) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return;
  }
  const Attempt& attempt = found->second.attempts.at(attempt_number - 1);
  if (const TargetState* const target = targets_.Find(attempt.target)) {
    limits_.OnAnswer(target->Number(), target->Region(), limit, attempt.sent_at,
                     now);
  }
}

void RequestPath::OnLimitReport(const LimitReport& report, MonotonicTime now) {
  if (const TargetState* const target = targets_.Find(report.target)) {
    limits_.OnReport(report, target->Region(), now);
  }
}

void RequestPath::OnReport(const TargetIdentity& target,
                           const LoadReport& report,
                           MonotonicTime now) {
  if (TargetState* const state = targets_.Find(target)) {
    ApplyLoadReport(*state, report, now);
  }
}

void RequestPath::ApplyLoadReport(TargetState& target,
                                  const LoadReport& report,
                                  MonotonicTime now) {
  target.OnReport(report, now);
  // A target that turns requests away has few of them, which says nothing about
  // the room on the others.
  if (target.IsResting(now)) {
    return;
  }
  loads_[target.Record().service].OnReport(target.Region(),
                                           target.OtherHostsLoad(), now);
}

}  // namespace medlarcroft::request_path
