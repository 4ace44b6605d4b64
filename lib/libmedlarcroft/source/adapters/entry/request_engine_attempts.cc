// Member functions of RequestEngine that send attempts and process their
// results.
#include <algorithm>
#include <utility>

#include "adapters/entry/protocol.h"
#include "adapters/entry/request_engine.h"
#include "medlarcroft/decision/attempt_rules.h"

namespace medlarcroft::adapters {

namespace {

/// Lower bound of the deadline header, in milliseconds, so that a deadline less
/// than a millisecond away is not sent as zero.
constexpr std::int64_t kMinDeadlineMs = 1;

HttpResponse ToResponse(ClientResponse answer,
                        decision::RunState run_state,
                        const TargetName& target) {
  HttpResponse response{.status = answer.status,
                        .headers = ForwardedHeaders(answer.headers)};
  response.headers.Set(protocol::kOutcome, FormatRunState(run_state));
  response.headers.Set(protocol::kTarget, target.Value());
  response.body = std::move(answer.body);
  return response;
}

decision::RunState RunStateAfter(const AttemptResult& result) {
  return result.is_proved_unsent ? decision::RunState::kNotRun
                                 : decision::RulesFor(result.outcome).run_state;
}

}  // namespace

void RequestEngine::Send(const decision::Dispatch& dispatch) {
  InFlightRequest& in_flight = in_flight_.at(dispatch.attempt.ticket.id);
  const ServiceRequest& request = *in_flight.request;
  // The scheduler dispatches only to targets in the current routes.
  const ServiceRoute& route = *routes_->Find(request.service);

  Attempt& attempt = in_flight.attempts[dispatch.attempt.number];
  attempt.target = dispatch.target;
  attempt.address = route.target_addresses.at(dispatch.target);
  attempt.started = clock_.Now();
  attempt.trace =
      events_.OnAttemptStart(request, dispatch.target, dispatch.kind);

  const decision::AttemptId id = dispatch.attempt;
  attempt.client_id =
      client_.Send(MakeClientRequest(request, dispatch, attempt, route),
                   [this, id](ClientResult result) {
                     OnClientResult(id, std::move(result));
                   });
}

ClientRequest RequestEngine::MakeClientRequest(
    const ServiceRequest& request,
    const decision::Dispatch& dispatch,
    const Attempt& attempt,
    const ServiceRoute& route) const {
  const Duration time_left = dispatch.deadline - attempt.started;
  const std::int64_t time_left_ms =
      std::max(kMinDeadlineMs, ToMilliseconds(time_left));

  ClientRequest out;
  out.method = request.method;
  out.url = "http://" + attempt.address + request.target_path;
  out.headers = request.headers;
  out.headers.Set(protocol::kBrand, request.brand.Value());
  out.headers.Set(protocol::kDeadline, std::to_string(time_left_ms));
  out.headers.Set(protocol::kRequestId, FormatAttemptId(dispatch.attempt));
  if (!attempt.trace.trace_parent.empty()) {
    out.headers.Set(protocol::kTraceParent, attempt.trace.trace_parent);
  }
  out.body = request.body;
  out.timeout = std::max<Duration>(time_left, std::chrono::milliseconds(1));
  out.needs_fresh_connection = !route.config.request_class.IsIdempotent();
  out.max_answer_bytes = route.config.request_class.max_answer_bytes;
  // The target may ask for rest while the connection is being established.
  out.may_send = [this, target = dispatch.target] { return MaySend(target); };
  return out;
}

void RequestEngine::OnClientResult(decision::AttemptId id,
                                   ClientResult client_result) {
  Replies replies;
  bool is_ended = false;
  {
    const std::lock_guard lock(mutex_);
    const auto found = in_flight_.find(id.ticket.id);
    if (found == in_flight_.end()) {
      return;
    }
    AttemptResult result =
        ClassifyAttempt(std::move(client_result), FormatAttemptId(id));
    const auto node = found->second.attempts.extract(id.number);
    if (node.empty()) {
      return;
    }
    const Attempt& attempt = node.mapped();
    const MonotonicTime now = clock_.Now();
    events_.OnAttemptEnd({.request = *found->second.request,
                          .target = attempt.target,
                          .outcome = result.outcome,
                          .latency = now - attempt.started,
                          .trace = attempt.trace});
    ReportTargetState(attempt, id, result);

    const decision::NextStep step =
        scheduler_.OnAttemptEnd(id, result.outcome, now);
    found->second.was_answer_unusable |=
        result.outcome == decision::AttemptOutcome::kTruncated ||
        result.is_id_mismatched;
    found->second.run_state =
        std::max(found->second.run_state, RunStateAfter(result));
    if (found->second.is_ending) {
      is_ended = OnEndingAttempt(id.ticket, attempt.target, std::move(result),
                                 replies);
    } else {
      ApplyNextStep(id.ticket, step, attempt.target, std::move(result),
                    replies);
    }
    RunDueActions(replies);
    WakeSchedulerIfEarlier();
  }
  RunCallbacks(std::move(replies));
  if (is_ended) {
    const std::lock_guard lock(mutex_);
    --ending_;
    all_ended_.notify_all();
  }
}

void RequestEngine::AnswerWithResponse(InFlightRequest& in_flight,
                                       const TargetName& target,
                                       AttemptResult result,
                                       Replies& replies) {
  const decision::RunState run_state =
      decision::RulesFor(result.outcome).run_state;
  replies.push_back(
      {std::exchange(in_flight.done, nullptr),
       {.run_state = run_state,
        .response = ToResponse(*std::move(result.answer), run_state, target),
        .is_target_answer = true}});
}

void RequestEngine::ReportTargetState(const Attempt& attempt,
                                      decision::AttemptId id,
                                      const AttemptResult& result) {
  const MonotonicTime now = clock_.Now();
  if (result.is_target_leaving && scheduler_.MarkLeaving(attempt.target, now)) {
    events_.OnLeavingStated(attempt.target, FormatAttemptId(id));
  }
  if (result.rest) {
    if (const auto until =
            scheduler_.OnTargetRest(attempt.target, *result.rest, now)) {
      events_.OnRestStarted(attempt.target, *until - now, FormatAttemptId(id));
    }
  }
  if (result.is_id_mismatched) {
    // The response to this attempt may follow on the same connection.
    client_.RetireConnections("http://" + attempt.address);
  }
  if (result.outcome == decision::AttemptOutcome::kSilentConnection) {
    // When a middlebox has dropped its state of the connection, requests on it
    // time out although the target is healthy. All currently open connections
    // to the target are retired, so the next attempt opens a new one and shows
    // the actual state of the target.
    client_.RetireConnections("http://" + attempt.address);
    scheduler_.OnSilentConnection(attempt.target, now);
    events_.OnSilentConnection(attempt.target);
  }
}

void RequestEngine::ApplyNextStep(decision::RequestTicket ticket,
                                  const decision::NextStep& step,
                                  const TargetName& target,
                                  AttemptResult result,
                                  Replies& replies) {
  if (const auto* finished = std::get_if<decision::Finished>(&step)) {
    CancelAttempts(finished->to_cancel);
    AnswerWithResponse(in_flight_.at(ticket.id), target, std::move(result),
                       replies);
  } else if (const auto* dispatch = std::get_if<decision::Dispatch>(&step)) {
    Send(*dispatch);
  } else if (const auto* refusal = std::get_if<decision::Refusal>(&step)) {
    FinishRefused(ticket, *refusal, replies);
  }
  EraseIfFinished(ticket);
}

void RequestEngine::CancelAttempts(
    const std::vector<decision::AttemptId>& attempts) {
  for (const decision::AttemptId& id : attempts) {
    InFlightRequest& in_flight = in_flight_.at(id.ticket.id);
    const auto attempt = in_flight.attempts.find(id.number);
    if (attempt != in_flight.attempts.end()) {
      client_.Cancel(attempt->second.client_id);
    }
  }
}

std::string RequestEngine::FormatAttemptId(decision::AttemptId attempt) const {
  return options_.host.Value() + "-" + std::to_string(options_.incarnation) +
         "-" + std::to_string(attempt.ticket.id) + "-" +
         std::to_string(attempt.number);
}

}  // namespace medlarcroft::adapters
