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
      // A connection that worked before may have been dropped by a middlebox on
      // the path, so this timeout says nothing of the target; attempts on new
      // connections show the state of the target.
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

bool HasMismatchedId(const ClientResponse& answer,
                     std::string_view attempt_id) {
  const auto echoed = answer.headers.Find(protocol::kRequestId);
  return echoed && *echoed != attempt_id;
}

}  // namespace

AttemptResult ClassifyAttempt(ClientResult result,
                              std::string_view attempt_id) {
  if (!IsOk(result)) {
    return {.outcome = OutcomeOf(ErrorOf(result))};
  }
  ClientResponse answer = TakeValue(std::move(result));
  if (HasMismatchedId(answer, attempt_id)) {
    return {.outcome = AttemptOutcome::kConnectionLost,
            .is_id_mismatched = true};
  }

  AttemptResult classified{.outcome = OutcomeOf(answer)};
  classified.is_target_leaving =
      answer.headers.Find(protocol::kTargetDraining).has_value();
  const bool is_not_run = classified.outcome == AttemptOutcome::kShed ||
                          classified.outcome == AttemptOutcome::kTargetLeaving;
  if (!is_not_run) {
    classified.answer = std::move(answer);
  }
  return classified;
}

}  // namespace medlarcroft::adapters
