#ifndef MEDLARCROFT_DECISION_REQUEST_H_
#define MEDLARCROFT_DECISION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::decision {

/// @brief Identifies a request in the scheduler; valid until the final answer.
struct RequestTicket {
  std::uint64_t id = 0;

  friend auto operator<=>(const RequestTicket&, const RequestTicket&) = default;
};

/// @brief Identifies one dispatch of a request; a request that is retried or
/// hedged has several.
struct AttemptId {
  RequestTicket ticket;
  std::uint32_t number = 0;

  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// @brief A caller's request for a service.
struct RequestDescription {
  ServiceName service;
  BrandName brand;
  /// Time left until the caller's deadline; the class's deadline if absent.
  std::optional<Duration> time_left;
  /// Forwarded by an entry host of another failure domain.
  bool is_shifted_in = false;
};

/// @brief Why a request ends without an answer from a target.
enum class RefusalReason {
  kUnknownService,     ///< No such service in the routing snapshot.
  kNoTarget,           ///< Every target has been removed or is leaving.
  kNoShare,            ///< This host has no usable slot of any target.
  kDeadlineTooShort,   ///< Its deadline leaves too little time to run it.
  kQueueTooLong,       ///< The predicted wait is above the class limit.
  kHeadroomReserved,   ///< A shifted-in request would use the headroom.
  kWaitedTooLong,      ///< No slot became free while it was queued.
  kRetryNotAllowed,    ///< It may have run and must not run twice.
  kRetryBudgetSpent,   ///< Too many retries per successful request.
  kAttemptsExhausted,  ///< The maximum number of attempts was made.
  kTargetsResting,     ///< Every target that does not leave asked for rest.
};

/// @brief Whether a target ran a request, as far as this host can prove.
enum class RunState { kNotRun, kUnknown, kRan };

/// @brief A final answer without a result, to be sent immediately.
struct Refusal {
  RefusalReason reason = RefusalReason::kNoTarget;
  RunState run_state = RunState::kNotRun;
  /// When the caller should retry; jittered and spread over callers.
  /// Zero if a retry does not help.
  Duration retry_after{0};
};

enum class DispatchKind { kFirst, kRetry, kHedge };

/// @brief Instruction to send the request to `target` now. A slot of the target
/// is taken until RequestScheduler::OnAttemptEnd. The deadline must be sent to
/// the target, and an attempt that reaches it must be ended as kTimedOut.
struct Dispatch {
  AttemptId attempt;
  TargetName target;
  MonotonicTime deadline;
  DispatchKind kind = DispatchKind::kFirst;
};

/// @brief The request waits until RequestScheduler::Advance dispatches or
/// refuses it.
struct Queued {
  RequestTicket ticket;
  /// The latest time at which it is dispatched or refused.
  MonotonicTime give_up_at;
};

/// @brief The result of RequestScheduler::Submit.
using Admission = std::variant<Dispatch, Queued, Refusal>;

/// @brief How an attempt ended, as observed by the transport.
enum class AttemptOutcome {
  kAnswered,        ///< A complete answer.
  kServerError,     ///< A complete answer that reports an error of the target.
  kNeverSent,       ///< Connecting failed; no byte was sent.
  kShed,            ///< The target was too busy and did not run it.
  kTargetLeaving,   ///< The target is draining and did not run it.
  kTruncated,       ///< The answer ended prematurely.
  kConnectionLost,  ///< The connection was lost before the answer began.
  kTimedOut,        ///< No complete answer by the deadline.
  kSilentConnection,  ///< No data arrives on the open connection; not
                      ///< counted as a failure of the target.
  kCancelled,         ///< Cancelled by this host.
  kWithheld,          ///< Not sent: the target asked for rest or leaves.
  kUnprovedRefusal,   ///< A refusal that may be the one to another request.
};

/// @brief Instruction to pass the attempt's complete answer to the caller; the
/// request is finished.
struct Finished {
  /// Other attempts to cancel; each must be reported as kCancelled once it has
  /// been cancelled.
  std::vector<AttemptId> to_cancel;
};

/// @brief There is nothing to do for this attempt: another one is still running
/// and decides the result, or the request has already been answered.
struct AwaitOtherAttempt {};

/// @brief The result of RequestScheduler::OnAttemptEnd.
using NextStep =
    std::variant<Finished, Dispatch, Queued, AwaitOtherAttempt, Refusal>;

/// @brief A queued request has expired; its caller must be answered now.
struct Expiry {
  RequestTicket ticket;
  Refusal refusal;
};

/// @brief An instruction from RequestScheduler::Advance to its caller.
using Action = std::variant<Dispatch, Expiry>;

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_REQUEST_H_
