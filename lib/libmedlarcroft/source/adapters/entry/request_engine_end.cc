// Member functions of RequestEngine that end requests before their result:
// those of callers that left, and all when the process ends.
#include <algorithm>
#include <utility>

#include "adapters/entry/request_engine.h"
#include "medlarcroft/decision/attempt_rules.h"

namespace medlarcroft::adapters {

namespace {

using decision::RunState;

/// The client's thread takes a cancellation at once unless it is held up; the
/// process has little time left.
constexpr Duration kCancelPatience = std::chrono::milliseconds(200);

}  // namespace

void RequestEngine::Cancel(decision::RequestTicket ticket,
                           bool is_kept_if_dispatched) {
  Replies replies;
  {
    const std::lock_guard lock(mutex_);
    const auto found = in_flight_.find(ticket.id);
    if (found == in_flight_.end() || !found->second.done) {
      return;
    }
    if (is_kept_if_dispatched && !found->second.attempts.empty()) {
      return;
    }
    const RunState run_state = scheduler_.RunStateOf(ticket);
    CancelAttempts(scheduler_.Cancel(ticket, clock_.Now()));
    AnswerWithProblem(found->second, ProblemCode::kCallerDisconnected,
                      run_state, replies);
    EraseIfFinished(ticket);
  }
  RunCallbacks(std::move(replies));
}

// Guards against an order that is told to have perhaps run, and so must not be
// repeated, though nothing of it was sent: what was sent is known once the
// attempts have ended, so their end is awaited.
void RequestEngine::EndAll() {
  Replies queued;
  Replies late;
  {
    const std::lock_guard lock(mutex_);
    for (const decision::RequestTicket ticket : Unanswered()) {
      StartEnding(ticket, queued);
    }
  }
  RunCallbacks(std::move(queued));
  {
    std::unique_lock lock(mutex_);
    all_ended_.wait_for(lock, kCancelPatience, [this] { return ending_ == 0; });
    for (const decision::RequestTicket ticket : Unanswered()) {
      InFlightRequest& in_flight = in_flight_.at(ticket.id);
      if (in_flight.is_ending) {
        --ending_;
        AnswerWithProblem(in_flight, ProblemCode::kAnswerLost,
                          RunState::kUnknown, late);
      }
    }
  }
  RunCallbacks(std::move(late));
}

std::vector<decision::RequestTicket> RequestEngine::Unanswered() const {
  std::vector<decision::RequestTicket> unanswered;
  for (const auto& [id, in_flight] : in_flight_) {
    if (in_flight.done) {
      unanswered.push_back({id});
    }
  }
  return unanswered;
}

void RequestEngine::StartEnding(decision::RequestTicket ticket,
                                Replies& replies) {
  InFlightRequest& in_flight = in_flight_.at(ticket.id);
  if (in_flight.is_ending) {
    return;
  }
  const auto running = scheduler_.Cancel(ticket, clock_.Now());
  if (running.empty()) {
    AnswerEnded(in_flight, replies);
    EraseIfFinished(ticket);
    return;
  }
  in_flight.is_ending = true;
  ++ending_;
  CancelAttempts(running);
}

bool RequestEngine::OnEndingAttempt(decision::RequestTicket ticket,
                                    const TargetName& target,
                                    AttemptResult result,
                                    Replies& replies) {
  InFlightRequest& in_flight = in_flight_.at(ticket.id);
  const bool is_awaited = in_flight.done != nullptr;
  if (is_awaited && result.answer) {
    AnswerWithResponse(in_flight, target, std::move(result), replies);
  } else if (is_awaited && in_flight.attempts.empty()) {
    AnswerEnded(in_flight, replies);
  }
  const bool is_answered = is_awaited && !in_flight.done;
  EraseIfFinished(ticket);
  return is_answered;
}

void RequestEngine::AnswerEnded(InFlightRequest& in_flight, Replies& replies) {
  AnswerWithProblem(in_flight,
                    in_flight.run_state == RunState::kNotRun
                        ? ProblemCode::kStopping
                        : ProblemCode::kAnswerLost,
                    in_flight.run_state, replies);
}

void RequestEngine::AnswerWithProblem(InFlightRequest& in_flight,
                                      ProblemCode code,
                                      RunState run_state,
                                      Replies& replies) {
  replies.push_back(
      {std::exchange(in_flight.done, nullptr),
       {.run_state = run_state, .response = MakeProblem(code, run_state)}});
}

void RequestEngine::EraseIfFinished(decision::RequestTicket ticket) {
  const auto found = in_flight_.find(ticket.id);
  if (found != in_flight_.end() && !found->second.done &&
      found->second.attempts.empty()) {
    in_flight_.erase(found);
  }
}

}  // namespace medlarcroft::adapters
