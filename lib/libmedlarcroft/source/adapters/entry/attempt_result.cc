#include "adapters/entry/attempt_result.h"

#include <utility>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

using decision::AttemptOutcome;

constexpr int kFirstServerError = 500;

AttemptOutcome OutcomeOf(const TransportError& error) {
  if (error.failure == TransportFailure::kCancelled) {
    return AttemptOutcome::kCancelled;
  }
  if (error.is_proved_unsent) {
    return AttemptOutcome::kNeverSent;
  }
  switch (error.failure) {
    case TransportFailure::kTimedOut:
      // On a connection that worked before, the path may have lost track of
      // it; the target is judged by what new connections show.
      return error.was_connection_reused ? AttemptOutcome::kSilentConnection
                                         : AttemptOutcome::kTimedOut;
    case TransportFailure::kTruncated:
    case TransportFailure::kUnframed:
    case TransportFailure::kTooLarge:
      return AttemptOutcome::kTruncated;
    default:
      return AttemptOutcome::kConnectionLost;
  }
}

AttemptOutcome OutcomeOf(const ClientResponse& answer) {
  if (answer.headers.Find(protocol::kTargetNotRun)) {
    return answer.headers.Find(protocol::kTargetDraining)
               ? AttemptOutcome::kTargetLeaving
               : AttemptOutcome::kShed;
  }
  return answer.status >= kFirstServerError ? AttemptOutcome::kServerError
                                            : AttemptOutcome::kAnswered;
}

bool IsCrossed(const ClientResponse& answer, std::string_view attempt_name) {
  const auto echoed = answer.headers.Find(protocol::kRequestId);
  return echoed && *echoed != attempt_name;
}

}  // namespace

AttemptResult ClassifyAttempt(ClientResult result,
                              std::string_view attempt_name) {
  if (!IsOk(result)) {
    return {.outcome = OutcomeOf(ErrorOf(result))};
  }
  ClientResponse answer = TakeValue(std::move(result));
  if (IsCrossed(answer, attempt_name)) {
    return {.outcome = AttemptOutcome::kConnectionLost, .is_crossed = true};
  }

  AttemptResult judged{.outcome = OutcomeOf(answer)};
  judged.is_target_leaving =
      answer.headers.Find(protocol::kTargetDraining).has_value();
  const bool is_not_run = judged.outcome == AttemptOutcome::kShed ||
                          judged.outcome == AttemptOutcome::kTargetLeaving;
  if (!is_not_run) {
    judged.answer = std::move(answer);
  }
  return judged;
}

}  // namespace medlarcroft::adapters
