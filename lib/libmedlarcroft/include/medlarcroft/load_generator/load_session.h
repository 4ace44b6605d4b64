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

/// @brief Runs a load plan from the callers' side: looks up hosts, sends
/// requests, checks responses and retries. It has no thread and does no I/O: an
/// event loop calls `Step` at the time returned by the previous `Step` and
/// passes results to `OnResult` as they arrive.
class LoadSession {
 public:
  struct Options {
    /// Base URLs of look-up listeners, "http://ip:port".
    std::vector<std::string> lookup_urls;
    /// Prefix that makes the request paths of this run unique.
    std::string run_name = "run";
  };

  /// @param arrivals random source of the arrivals only, so that two runs with
  /// the same seed have the same arrivals whatever the responses.
  /// @param choices random source of all else. All references must outlive the
  /// session.
  LoadSession(const LoadPlan& plan,
              Options options,
              ports::RandomSource& arrivals,
              ports::RandomSource& choices,
              LoadTransport& transport,
              MonotonicTime start);

  /// @brief Sends all requests that are due.
  /// @return the latest time for the next call, or nullopt when only results
  /// are outstanding.
  std::optional<MonotonicTime> Step(MonotonicTime now);

  /// @brief Handles the result of a request that was passed to the transport.
  void OnResult(std::uint64_t id,
                const ExchangeResult& result,
                MonotonicTime now);

  /// @return whether every request has ended.
  [[nodiscard]] bool IsDone() const;
  [[nodiscard]] std::size_t InFlight() const { return requests_.size(); }

  [[nodiscard]] LoadStatistics& Statistics() { return statistics_; }
  [[nodiscard]] const OutcomeAuditor& Auditor() const { return auditor_; }

 private:
  using RequestNumber = std::uint64_t;

  /// @brief A caller's request, from its intended send time to its end.
  struct Request {
    Arrival arrival;
    std::string path;
    std::string body;
    std::string key;
    std::string address;  ///< Of the host last sent to.
    std::set<std::string> unreachable;
    std::uint32_t attempts = 0;
    std::uint32_t failed_key_attempts = 0;
    bool was_sent = false;
    idempotency::Outcome last_outcome = idempotency::Outcome::kNotRun;
    bool is_success = false;
  };

  enum class Exchange { kLookup, kKeys, kAttempt };
  struct Pending {
    Exchange exchange = Exchange::kAttempt;
    RequestNumber number = 0;           ///< Of kAttempt and kKeys.
    LookupCache::Subject subject;       ///< Of kLookup and kKeys.
    std::uint32_t failed_attempts = 0;  ///< Of kLookup.
  };

  void Begin(const Arrival& arrival, MonotonicTime now);
  void Advance(RequestNumber number, MonotonicTime now);
  void SendLookup(const LookupCache::Subject& subject,
                  std::uint32_t failed_attempts);
  void SendKeysRequest(RequestNumber number, const std::string& address);
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
  OutcomeAuditor auditor_;

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
