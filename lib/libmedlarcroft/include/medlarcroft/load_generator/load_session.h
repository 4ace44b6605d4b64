#ifndef MEDLARCROFT_LOAD_GENERATOR_LOAD_SESSION_H_
#define MEDLARCROFT_LOAD_GENERATOR_LOAD_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/load_generator/arrival_schedule.h"
#include "medlarcroft/load_generator/load_statistics.h"
#include "medlarcroft/load_generator/load_transport.h"
#include "medlarcroft/load_generator/lookup_cache.h"
#include "medlarcroft/load_generator/outcome_auditor.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::load_generator {

/// @brief A run as its callers live it: look up, send, check, try again. It
/// holds no thread and does no I/O: a loop calls `Step` at the time that the
/// last `Step` named and hands in results as they come.
class LoadSession {
 public:
  struct Options {
    /// Base addresses of look-up listeners, "http://ip:port".
    std::vector<std::string> lookup_urls;
    /// Makes the paths of this run unlike those of any other.
    std::string run_name = "run";
  };

  /// @param arrivals draws the arrivals alone, so that they are the same for
  /// two runs with the same seed, whatever the system answers.
  /// @param choices draws all else. All references must outlive the session.
  LoadSession(const LoadPlan& plan,
              Options options,
              ports::RandomSource& arrivals,
              ports::RandomSource& choices,
              LoadTransport& transport,
              MonotonicTime start);

  /// @brief Sends all that is due.
  /// @return when to call again at the latest; nullopt: only results are left
  /// to wait for.
  std::optional<MonotonicTime> Step(MonotonicTime now);

  /// @brief Takes what came of a request that the transport was given.
  void OnResult(std::uint64_t id,
                const ExchangeResult& result,
                MonotonicTime now);

  /// @return whether every request has ended.
  [[nodiscard]] bool IsDone() const;
  [[nodiscard]] std::size_t InFlight() const { return requests_.size(); }

  [[nodiscard]] LoadStatistics& Statistics() { return statistics_; }
  [[nodiscard]] const ClaimBook& Claims() const { return claims_; }

 private:
  using RequestNumber = std::uint64_t;

  /// @brief One caller's request, from its intended time to its end.
  struct Request {
    Arrival arrival;
    std::string path;
    std::string body;
    std::string key;
    std::string address;  ///< Of the host that is being asked.
    std::set<std::string> unreachable;
    std::uint32_t attempts = 0;
    std::uint32_t key_tries = 0;
    bool was_sent = false;
    idempotency::Outcome last_outcome = idempotency::Outcome::kNotRun;
    bool is_success = false;
  };

  enum class Exchange { kLookup, kKeys, kAttempt };
  struct Pending {
    Exchange exchange = Exchange::kAttempt;
    RequestNumber number = 0;      ///< Of kAttempt and kKeys.
    LookupCache::Subject subject;  ///< Of kLookup and kKeys.
    std::uint32_t tries = 0;       ///< Of kLookup: hosts asked in vain.
  };

  void Begin(const Arrival& arrival, MonotonicTime now);
  void Advance(RequestNumber number, MonotonicTime now);
  void AskLookup(const LookupCache::Subject& subject, std::uint32_t tries);
  void AskKeys(RequestNumber number, const std::string& address);
  void SendAttempt(RequestNumber number,
                   const EntryHost& host,
                   MonotonicTime now);
  void OnLookup(const Pending& pending,
                const ExchangeResult& result,
                MonotonicTime now);
  void OnKeys(const Pending& pending,
              const ExchangeResult& result,
              MonotonicTime now);
  void OnAttempt(RequestNumber number,
                 const ExchangeResult& result,
                 MonotonicTime now);
  void RetryOrFinish(RequestNumber number,
                     const ExchangeResult& result,
                     MonotonicTime now);
  void Finish(RequestNumber number, MonotonicTime now);

  [[nodiscard]] const ClassLoad& ClassOf(const Request& request) const;
  [[nodiscard]] LookupCache::Subject SubjectOf(const Request& request) const;
  [[nodiscard]] Duration TimeLeft(const Request& request,
                                  MonotonicTime now) const;
  std::uint64_t Register(Pending pending);

  const LoadPlan& plan_;
  const Options options_;
  ports::RandomSource& random_;
  LoadTransport& transport_;
  const MonotonicTime start_;

  ArrivalSchedule schedule_;
  std::optional<Arrival> next_arrival_;
  LookupCache cache_;
  LoadStatistics statistics_;
  ClaimBook claims_;

  std::map<RequestNumber, Request> requests_;
  std::map<std::uint64_t, Pending> pending_;
  std::multimap<MonotonicTime, RequestNumber> retries_;
  std::map<LookupCache::Subject, std::vector<RequestNumber>> waiting_;
  RequestNumber last_number_ = 0;
  std::uint64_t last_id_ = 0;
  std::size_t next_lookup_url_ = 0;
};

}  // namespace medlarcroft::load_generator

#endif  // MEDLARCROFT_LOAD_GENERATOR_LOAD_SESSION_H_
