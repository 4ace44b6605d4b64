#ifndef MEDLARCROFT_ADMISSION_SERVICE_ADMISSION_H_
#define MEDLARCROFT_ADMISSION_SERVICE_ADMISSION_H_

#include <map>
#include <unordered_map>

#include "medlarcroft/admission/admission_request.h"
#include "medlarcroft/admission/demand_record.h"
#include "medlarcroft/admission/retry_after_pacer.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/ports/random_source.h"

namespace medlarcroft::admission {

/// @brief Decides how long requests of one service may wait in a target's
/// queue, by priority, while the slots are short.
///
/// If each request were refused once the wait exceeds what its own latency
/// objective allows, queues would grow until the route with the longest
/// objective is refused, and every more urgent one with a shorter objective
/// would be refused before it. So a less urgent request is refused at a shorter
/// wait than a more urgent one. Queues then stay so short that the urgent ones
/// find room. All hosts take the wait from the load reports that they share,
/// and see the same mix of requests, so they admit the same levels without
/// coordination. A host without any history applies the requests' own limits.
///
/// With requests of a single level, only the fairness between accounts applies.
class ServiceAdmission {
 public:
  struct Decision {
    bool is_admitted = false;
    Duration max_wait{0};  ///< Longest wait with which it is admitted.
  };

  /// @brief Decides on a request and records the decision.
  /// @param wait expected in the queue of the best target.
  /// @param slot_time mean time until one of a target's slots becomes free.
  [[nodiscard]] Decision Admit(const AdmissionRequest& request,
                               Duration wait,
                               Duration slot_time,
                               MonotonicTime now);

  /// @return the longest wait with which the request is admitted.
  [[nodiscard]] Duration MaxWait(const AdmissionRequest& request,
                                 Duration slot_time,
                                 MonotonicTime now) const;

  /// @return when the caller of a refused request should return. The returns of
  /// each level are spread over time at half the rate at which the host admits
  /// requests of that level, so that half of the room is left to new requests.
  /// @param excess_wait by which the wait exceeds the longest one.
  /// @param longest time for which the caller would wait.
  [[nodiscard]] Duration RetryAfter(const AdmissionRequest& request,
                                    Duration excess_wait,
                                    Duration longest,
                                    ports::RandomSource& random,
                                    MonotonicTime now);

  /// @return whether more than one level has a considerable part of the demand.
  [[nodiscard]] bool HasSeveralLevels(MonotonicTime now) const;

 private:
  struct Level {
    DemandRecord demand;
    double useful_wait_seconds = 0;  ///< Mean over its requests.
    RetryAfterPacer retry_after_pacer;
  };
  struct Account {
    DemandRecord demand;
    double quota = 0;
  };
  using Levels = std::map<PriorityLevel, Level>;

  /// @return the most urgent level at which the cumulative demand reaches
  /// `kReferenceShare`. Less urgent levels get shorter limits.
  [[nodiscard]] Levels::const_iterator ReferenceLevel(MonotonicTime now) const;
  [[nodiscard]] double LevelWait(const AdmissionRequest& request,
                                 double step,
                                 MonotonicTime now) const;
  /// @return whether the level has enough requests to compete for the slots.
  [[nodiscard]] bool Competes(const Level& level, MonotonicTime now) const;
  [[nodiscard]] bool IsStarved(const DemandRecord& demand,
                               MonotonicTime now) const;
  [[nodiscard]] bool ExceedsFairShare(const AdmissionRequest& request,
                                      MonotonicTime now) const;
  void Record(const AdmissionRequest& request,
              bool is_admitted,
              MonotonicTime now);
  void RecordAccount(const AdmissionRequest& request,
                     bool is_admitted,
                     MonotonicTime now);
  void EvictIdleAccounts(MonotonicTime now);

  Levels levels_;
  std::unordered_map<ClientAccountName, Account> accounts_;
  DemandRecord total_;
  DemandRecord quota_account_demand_;  ///< Of accounts with a quota.
  double total_quota_ = 0;             ///< Sum over `accounts_`.
  MonotonicTime cleaned_at_{};
};

}  // namespace medlarcroft::admission

#endif  // MEDLARCROFT_ADMISSION_SERVICE_ADMISSION_H_
