#include "adapters/entry/idempotency_guard.h"

#include <array>
#include <utility>

#include "adapters/entry/protocol.h"
#include "medlarcroft/idempotency/fingerprint.h"

namespace medlarcroft::adapters {

namespace {

using decision::RunState;
using idempotency::LedgerRefusal;

/// By then the first attempt is likely to have finished.
constexpr Duration kDuplicateRetryAfter = std::chrono::seconds(1);

struct RefusalMapping {
  LedgerRefusal reason;
  ProblemCode code;
  Duration retry_after;
};

constexpr std::array kRefusalMappings = {
    RefusalMapping{LedgerRefusal::kExpired, ProblemCode::kKeyExpired, {}},
    RefusalMapping{LedgerRefusal::kForeignHost,
                   ProblemCode::kKeyIssuerUnavailable,
                   {}},
    RefusalMapping{LedgerRefusal::kForeignIncarnation,
                   ProblemCode::kKeyIssuerUnavailable,
                   {}},
    RefusalMapping{LedgerRefusal::kRequestDiffers, ProblemCode::kKeyReused, {}},
    RefusalMapping{LedgerRefusal::kFull, ProblemCode::kLedgerFull,
                   kDuplicateRetryAfter},
    RefusalMapping{LedgerRefusal::kTooManyWaiters,
                   ProblemCode::kTooManyDuplicates, kDuplicateRetryAfter},
    RefusalMapping{LedgerRefusal::kFateUnknown,
                   ProblemCode::kOutcomeUnknown,
                   {}},
    RefusalMapping{LedgerRefusal::kAnswerNotKept,
                   ProblemCode::kAnswerNotKept,
                   {}},
};

RunState ToRunState(idempotency::Outcome outcome) {
  switch (outcome) {
    case idempotency::Outcome::kRan:
      return RunState::kRan;
    case idempotency::Outcome::kNotRun:
      return RunState::kNotRun;
    case idempotency::Outcome::kUnknown:
      break;
  }
  return RunState::kUnknown;
}

RequestResult MakeProblemResult(ProblemCode code,
                                RunState run_state,
                                Duration retry_after = Duration::zero()) {
  return {.run_state = run_state,
          .response = MakeProblem(code, run_state, retry_after)};
}

RequestResult ToResult(const idempotency::Refused& refused) {
  for (const RefusalMapping& row : kRefusalMappings) {
    if (row.reason == refused.reason) {
      return MakeProblemResult(row.code, ToRunState(refused.outcome),
                               row.retry_after);
    }
  }
  return MakeProblemResult(ProblemCode::kOutcomeUnknown, RunState::kUnknown);
}

idempotency::SharedAnswer ToAnswer(const HttpResponse& response) {
  auto answer = std::make_shared<idempotency::Answer>();
  answer->status = response.status;
  for (const HttpHeader& field : response.headers.Fields()) {
    answer->headers.push_back({field.name, field.value});
  }
  answer->body = response.body;
  return answer;
}

RequestResult ToResult(const idempotency::Answer& answer) {
  RequestResult result{.run_state = RunState::kRan, .is_target_answer = true};
  result.response.status = answer.status;
  for (const idempotency::AnswerHeader& field : answer.headers) {
    result.response.headers.Add(field.name, field.value);
  }
  result.response.body = answer.body;
  return result;
}

}  // namespace

IdempotencyGuard::IdempotencyGuard(Options options, const ports::Clock& clock)
    : options_(std::move(options)),
      secrets_(options_.secrets),
      authority_({.host = options_.host,
                  .incarnation = options_.incarnation,
                  .lifetime = options_.key_lifetime},
                 options_.secrets,
                 clock),
      ledger_({.host = options_.host, .incarnation = options_.incarnation},
              clock) {}

std::string IdempotencyGuard::Issue(idempotency::Mode mode) {
  const std::lock_guard lock(mutex_);
  return idempotency::FormatKey(authority_.Issue(mode));
}

decision::RunState IdempotencyGuard::RunStateIfRefused(
    std::optional<std::string_view> key_text) const {
  if (!key_text) {
    return RunState::kNotRun;
  }
  const auto key = idempotency::ParseKey(*key_text);
  if (!IsOk(key)) {
    // No host has ever accepted a key of this form, unless a later version of
    // the software did.
    return ErrorOf(key) == idempotency::KeyParseError::kUnknownVersion
               ? RunState::kUnknown
               : RunState::kNotRun;
  }
  const std::lock_guard lock(mutex_);
  if (authority_.FindRefusal(ValueOf(key))) {
    return RunState::kUnknown;
  }
  return ToRunState(ledger_.OutcomeIfRefused(ValueOf(key)));
}

GuardDecision IdempotencyGuard::Begin(const ServiceRequest& request,
                                      std::size_t max_answer_bytes,
                                      ResultCallback waiter) {
  if (!request.key_text) {
    return AnswerDecision{
        MakeProblemResult(ProblemCode::kMissingKey, RunState::kNotRun)};
  }
  const auto parsed = idempotency::ParseKey(*request.key_text);
  if (!IsOk(parsed)) {
    return AnswerDecision{MakeProblemResult(
        ProblemCode::kBadKey, RunStateIfRefused(request.key_text))};
  }
  const idempotency::Key& key = ValueOf(parsed);
  const idempotency::Fingerprint fingerprint = idempotency::ComputeFingerprint(
      {.brand = request.brand.Value(),
       .method = request.method,
       .service_path = request.service.Value() + request.target_path,
       .body = request.body});

  const std::lock_guard lock(mutex_);
  if (const auto refusal = authority_.FindRefusal(key)) {
    // A request with an expired key may have run. So may one whose key was
    // signed with a secret that is no longer accepted, which can't be told from
    // a forged key.
    return AnswerDecision{MakeProblemResult(
        *refusal == idempotency::KeyRefusal::kForged ? ProblemCode::kBadKey
                                                     : ProblemCode::kKeyExpired,
        RunState::kUnknown)};
  }
  const idempotency::WaiterId id = ++last_waiter_id_;
  const idempotency::BeginResult begin_result =
      ledger_.Begin(key, fingerprint, max_answer_bytes, id);
  if (std::holds_alternative<idempotency::AwaitFirstAttempt>(begin_result)) {
    waiters_[id] = std::move(waiter);
  }
  return ToDecision(key, begin_result);
}

GuardDecision IdempotencyGuard::ToDecision(
    const idempotency::Key& key,
    const idempotency::BeginResult& begin_result) const {
  if (std::holds_alternative<idempotency::DispatchRequest>(begin_result)) {
    return ProceedDecision{key};
  }
  if (std::holds_alternative<idempotency::AwaitFirstAttempt>(begin_result)) {
    return WaitDecision{};
  }
  if (const auto* replay =
          std::get_if<idempotency::ReplayAnswer>(&begin_result)) {
    return AnswerDecision{ToResult(*replay->answer)};
  }
  const auto& refused = std::get<idempotency::Refused>(begin_result);
  if (refused.reason == LedgerRefusal::kForeignHost) {
    return ForwardToIssuerDecision{key.id.issuer};
  }
  return AnswerDecision{ToResult(refused)};
}

void IdempotencyGuard::RecordResult(const idempotency::Key& key,
                                    const RequestResult& result) {
  std::vector<idempotency::WaiterId> ids;
  {
    const std::lock_guard lock(mutex_);
    switch (result.run_state) {
      case RunState::kRan:
        ids = ledger_.Complete(key, ToAnswer(result.response));
        break;
      case RunState::kNotRun:
        ids = ledger_.MarkNotRun(key);
        break;
      case RunState::kUnknown:
        ids = ledger_.MarkUnknown(key);
        break;
    }
  }
  AnswerWaiters(ids, result);
}

void IdempotencyGuard::Release(const idempotency::Key& key,
                               const RequestResult& result) {
  std::vector<idempotency::WaiterId> ids;
  {
    const std::lock_guard lock(mutex_);
    ids = ledger_.MarkNotRun(key);
  }
  AnswerWaiters(ids, result);
}

void IdempotencyGuard::AnswerWaiters(
    const std::vector<idempotency::WaiterId>& ids,
    const RequestResult& result) {
  std::vector<ResultCallback> callbacks;
  {
    const std::lock_guard lock(mutex_);
    for (const idempotency::WaiterId id : ids) {
      if (auto node = waiters_.extract(id)) {
        callbacks.push_back(std::move(node.mapped()));
      }
    }
  }
  for (const ResultCallback& callback : callbacks) {
    callback(result);
  }
}

Result<Success, idempotency::KeySecretsError> IdempotencyGuard::Rotate(
    idempotency::KeySecrets secrets) {
  const std::lock_guard lock(mutex_);
  auto result = authority_.Rotate(secrets);
  if (IsOk(result)) {
    secrets_ = std::move(secrets);
  }
  return result;
}

std::string IdempotencyGuard::IssuingSecret() const {
  const std::lock_guard lock(mutex_);
  return secrets_.issuing;
}

std::vector<std::string> IdempotencyGuard::AcceptedSecrets() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> secrets = {secrets_.issuing};
  if (secrets_.also_accepted) {
    secrets.push_back(*secrets_.also_accepted);
  }
  return secrets;
}

std::size_t IdempotencyGuard::LedgerEntries() const {
  const std::lock_guard lock(mutex_);
  return ledger_.Entries();
}

std::size_t IdempotencyGuard::LedgerBytes() const {
  const std::lock_guard lock(mutex_);
  return ledger_.Bytes();
}

std::size_t IdempotencyGuard::LedgerRunning() const {
  const std::lock_guard lock(mutex_);
  return ledger_.Running();
}

}  // namespace medlarcroft::adapters
