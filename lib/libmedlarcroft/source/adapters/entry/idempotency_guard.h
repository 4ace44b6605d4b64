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

/// @brief Dispatch the request, then call `IdempotencyGuard::Settle`.
struct ProceedDecision {
  idempotency::Key key;
};
/// @brief The callback given to `Begin` is called with the first one's result.
struct WaitDecision {};
/// @brief Answer with this at once.
struct AnswerDecision {
  RequestResult result;
};
/// @brief Only this host may dispatch the key: pass the request on to it.
struct ForwardToIssuerDecision {
  HostName issuer;
};

using GuardDecision = std::variant<ProceedDecision,
                                   WaitDecision,
                                   AnswerDecision,
                                   ForwardToIssuerDecision>;

/// @brief Stands before every non-idempotent request: issues keys, and decides
/// by the ledger which attempts run, wait, are replayed or refused. Safe to
/// share between threads; callbacks run without its lock.
class IdempotencyGuard {
 public:
  struct Options {
    HostName host;
    std::uint64_t incarnation = 0;
    idempotency::KeySecrets secrets;
    Duration key_lifetime = std::chrono::minutes(10);
  };

  IdempotencyGuard(Options options, const ports::Clock& clock);

  /// @return the text form of a fresh key.
  [[nodiscard]] std::string Issue(idempotency::Mode mode);

  /// @brief What may be said of a request that is refused before `Begin`.
  ///
  /// Failure: an order ran, its answer was lost, and the caller asks again
  /// while the host is stopping, or just started without routes. Symptom: it is
  /// told "not run", takes a new key, and the order runs twice. Only a key of
  /// this process without an entry is proved not to have run.
  /// @param key_text the Idempotency-Key field; none: nothing else can have run
  /// under it.
  [[nodiscard]] decision::RunState OutcomeIfRefused(
      std::optional<std::string_view> key_text) const;

  /// @param max_answer_bytes room kept for the answer, so that what ran can be
  /// replayed.
  [[nodiscard]] GuardDecision Begin(const ServiceRequest& request,
                                    std::size_t max_answer_bytes,
                                    ResultCallback waiter);

  /// @brief Notes the end of the run that `Begin` asked for, and answers the
  /// duplicates that waited for it.
  void Settle(const idempotency::Key& key, const RequestResult& result);

  /// @brief Notes that the run was not begun here after all, whatever is known
  /// of it elsewhere: a later attempt decides anew. Answers the duplicates that
  /// waited with `result`.
  void Release(const idempotency::Key& key, const RequestResult& result);

  [[nodiscard]] Result<Success, idempotency::KeySecretsError> Rotate(
      idempotency::KeySecrets secrets);

  /// @return the secret that signs, for proofs between hosts.
  [[nodiscard]] std::string IssuingSecret() const;
  [[nodiscard]] std::vector<std::string> AcceptedSecrets() const;

  [[nodiscard]] std::size_t LedgerEntries() const;
  [[nodiscard]] std::size_t LedgerBytes() const;
  [[nodiscard]] std::size_t LedgerRunning() const;

 private:
  /// @brief Answers parked duplicates, without the lock held.
  void AnswerWaiters(const std::vector<idempotency::WaiterId>& ids,
                     const RequestResult& result);
  [[nodiscard]] GuardDecision Judge(
      const idempotency::Key& key,
      const idempotency::BeginResult& begun) const;

  const Options options_;
  mutable std::mutex mutex_;
  idempotency::KeySecrets secrets_;
  idempotency::KeyAuthority authority_;
  idempotency::Ledger ledger_;
  std::map<idempotency::WaiterId, ResultCallback> waiters_;
  idempotency::WaiterId last_waiter_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_IDEMPOTENCY_GUARD_H_
