#ifndef MEDLARCROFT_ADAPTERS_ENTRY_IDEMPOTENCY_GUARD_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_IDEMPOTENCY_GUARD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "adapters/entry/problem.h"
#include "adapters/entry/request_engine.h"
#include "adapters/entry/request_parser.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/idempotency/key_authority.h"
#include "medlarcroft/idempotency/ledger.h"

namespace medlarcroft::adapters {

/// @brief Dispatch the request, then call `IdempotencyGuard::RecordResult`.
struct ProceedDecision {
  idempotency::Key key;
};
/// @brief An earlier attempt is running; the callback given to `Begin` gets its
/// result.
struct WaitDecision {};
/// @brief Send this answer at once.
struct AnswerDecision {
  RequestResult result;
};
/// @brief Only the host that issued the key may dispatch the request: forward
/// it there.
struct ForwardToIssuerDecision {
  HostName issuer;
};

using GuardDecision = std::variant<ProceedDecision,
                                   WaitDecision,
                                   AnswerDecision,
                                   ForwardToIssuerDecision>;

/// @brief Checks every non-idempotent request before it is dispatched: issues
/// keys and decides by the idempotency ledger whether an attempt runs, waits,
/// gets a stored answer or is refused. Safe to share between threads; callbacks
/// run without its lock held.
class IdempotencyGuard {
 public:
  struct Options {
    HostName host;
    std::uint64_t incarnation = 0;
    idempotency::KeySecrets secrets;
    Duration key_lifetime = std::chrono::minutes(10);
  };

  IdempotencyGuard(Options options, const ports::Clock& clock);

  /// @return a new key in its text form.
  [[nodiscard]] std::string Issue(idempotency::Mode mode);

  /// @brief The run state to report for a request that is refused before
  /// `Begin`.
  ///
  /// This prevents an order from running twice: it ran, its answer was lost,
  /// and the caller retries while the host is stopping, or has just started and
  /// has no routes. If the refusal then reported "not run", the caller would
  /// retry with a new key. Only for a key that this process issued and that has
  /// no ledger entry is it certain that the request did not run.
  /// @param key_text the Idempotency-Key header; if absent, no other attempt
  /// can have run under the same key.
  [[nodiscard]] decision::RunState RunStateIfRefused(
      std::optional<std::string_view> key_text) const;

  /// @param max_answer_bytes space to reserve in the ledger for the answer, so
  /// that it can be sent again to duplicates.
  /// @param waiter gets the result if the decision is `WaitDecision`.
  [[nodiscard]] GuardDecision Begin(const ServiceRequest& request,
                                    std::size_t max_answer_bytes,
                                    ResultCallback waiter);

  /// @brief Records the result of the run that `Begin` allowed, and answers the
  /// duplicates that waited for it.
  void RecordResult(const idempotency::Key& key, const RequestResult& result);

  /// @brief Records that the run was not started on this host after all,
  /// whatever is known of it on other hosts, so that a later attempt is decided
  /// afresh. Answers the waiting duplicates with `result`.
  void Release(const idempotency::Key& key, const RequestResult& result);

  [[nodiscard]] Result<Success, idempotency::KeySecretsError> Rotate(
      idempotency::KeySecrets secrets);

  /// @return the secret that signs keys; it also signs the proofs of requests
  /// forwarded between hosts.
  [[nodiscard]] std::string IssuingSecret() const;
  [[nodiscard]] std::vector<std::string> AcceptedSecrets() const;

  [[nodiscard]] std::size_t LedgerEntries() const;
  [[nodiscard]] std::size_t LedgerBytes() const;
  [[nodiscard]] std::size_t LedgerRunning() const;

 private:
  /// @brief Answers waiting duplicates, without the lock held.
  void AnswerWaiters(const std::vector<idempotency::WaiterId>& ids,
                     const RequestResult& result);
  [[nodiscard]] GuardDecision ToDecision(
      const idempotency::Key& key,
      const idempotency::BeginResult& begin_result) const;

  const Options options_;
  mutable std::mutex mutex_;
  idempotency::KeySecrets secrets_;
  idempotency::KeyAuthority authority_;
  idempotency::Ledger ledger_;
  std::map<idempotency::WaiterId, ResultCallback> waiters_;
  idempotency::WaiterId last_waiter_id_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_IDEMPOTENCY_GUARD_H_
