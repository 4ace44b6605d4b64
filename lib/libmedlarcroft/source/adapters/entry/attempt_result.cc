#include "adapters/entry/attempt_result.h"

#include <utility>

#include "adapters/entry/protocol.h"
#include "adapters/http/retry_after.h"

namespace medlarcroft::adapters {

namespace {

using decision::AttemptOutcome;

constexpr int kFirstServerError = 500;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

AttemptOutcome OutcomeOf(const TransportError& error) {
  if (error.failure == TransportFailure::kCancelled) {
    return AttemptOutcome::kCancelled;
  }
  if (error.failure == TransportFailure::kWithheld) {
    return AttemptOutcome::kWithheld;
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
    case TransportFailure::kMalformed:
      return AttemptOutcome::kTruncated;
    default:
      return AttemptOutcome::kConnectionLost;
  }
}

/// @return whether the target marks the answer as a refusal. A mark on a status
/// that no refusal has proves nothing: a target's own 500 counts as run.
bool IsMarkedNotRun(const ClientResponse& answer) {
  return answer.headers.Find(protocol::kTargetNotRun) &&
         (answer.status == kTooMany || answer.status == kUnavailable);
}

AttemptOutcome OutcomeOf(const ClientResponse& answer) {
  if (IsMarkedNotRun(answer)) {
    return answer.headers.Find(protocol::kTargetDraining)
               ? AttemptOutcome::kTargetLeaving
               : AttemptOutcome::kShed;
  }
  return answer.status >= kFirstServerError ? AttemptOutcome::kServerError
                                            : AttemptOutcome::kAnswered;
}

/// @brief Reads what the head of an answer says about its target.
void ReadHead(int status, const HttpHeaders& headers, AttemptResult& result) {
  result.is_target_leaving =
      headers.Find(protocol::kTargetDraining).has_value();
  if (status == kUnavailable) {
    result.rest = ParseRetryAfter(headers);
  }
}

bool HasMismatchedId(const ClientResponse& answer,
                     std::string_view attempt_id) {
  const auto echoed = answer.headers.Find(protocol::kRequestId);
  return echoed && *echoed != attempt_id;
}

bool IsNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kShed ||
         outcome == AttemptOutcome::kTargetLeaving;
}

}  // namespace

AttemptResult ClassifyAttempt(ClientResult result,
                              std::string_view attempt_id) {
  if (!IsOk(result)) {
    const TransportError& error = ErrorOf(result);
    AttemptResult failed{.outcome = OutcomeOf(error),
                         .is_proved_unsent = error.is_proved_unsent};
    ReadHead(error.status, error.headers, failed);
    return failed;
  }
  ClientResponse answer = TakeValue(std::move(result));
  AttemptResult classified{.outcome = OutcomeOf(answer)};
  ReadHead(answer.status, answer.headers, classified);
  if (HasMismatchedId(answer, attempt_id)) {
    classified.outcome = AttemptOutcome::kConnectionLost;
    classified.is_id_mismatched = true;
    return classified;
  }

  const bool is_named = answer.headers.Find(protocol::kRequestId).has_value();
  // Guards against a request that runs and counts as not run: on a reused
  // connection the refusal may be a late one to the request before, and that of
  // a request that was sent twice says nothing of the first time.
  const bool is_unproved =
      answer.was_resent || (!is_named && answer.was_connection_reused);
  if (IsNotRun(classified.outcome) && is_unproved) {
    classified.outcome = AttemptOutcome::kUnprovedRefusal;
    return classified;
  }

  if (!IsNotRun(classified.outcome)) {
    classified.answer = std::move(answer);
  }
  return classified;
}

}  // namespace medlarcroft::adapters
