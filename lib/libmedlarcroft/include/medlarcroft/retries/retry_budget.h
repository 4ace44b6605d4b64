#ifndef MEDLARCROFT_RETRIES_RETRY_BUDGET_H_
#define MEDLARCROFT_RETRIES_RETRY_BUDGET_H_

#include <chrono>
#include <cstdint>

#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/host_share.h"
#include "medlarcroft/retries/event_window.h"

namespace medlarcroft::retries {

/// @brief Limit on the retries of one service's requests.
struct RetryLimit {
  double ratio = 0.2;  ///< Retries per request.
  double fixed = 50;  ///< Additional retries per window, of all hosts together.
  Duration window = std::chrono::seconds(10);
};

/// @brief What budgets granted and refused since the process began.
struct RetryCounts {
  std::uint64_t earned = 0;  ///< Granted of what requests had earned.
  std::uint64_t fixed = 0;   ///< Granted of the fixed amount.
  std::uint64_t refused = 0;

  RetryCounts& operator+=(const RetryCounts& other);
};

/// @brief This host's retries and hedges of one service's requests.
///
/// When many targets fail at the same time and every request is retried, the
/// retries can add so much load that the targets cannot recover. Requests earn
/// a fraction of a retry each, and hosts have equal shares of the fixed amount.
/// An earned retry expires after `saved_for`, and a process begins without any.
/// So whatever hosts restart or end and whichever of them callers use, all
/// hosts together grant in a window at most what requests earned in it and in
/// the `saved_for` before it, the fixed amount, and less than one retry per
/// host by rounding. No messages are needed, and a disconnected host has its
/// share.
class RetryBudget {
 public:
  struct Options {
    RetryLimit limit;
    /// Fraction of the limit that is used. What is left allows for what was
    /// saved before a window, for windows that start at different times on
    /// other hosts and on whoever checks the limit, and for sends that arrive
    /// later than they are counted: 12.5 s of requests in a window of 10 s.
    double usable_fraction = 0.8;
    /// Enough for a burst of failures, as when a target ends; hosts with few
    /// requests need it to ever have a whole retry.
    Duration saved_for = std::chrono::seconds(2);
  };

  explicit RetryBudget(const Options& options);

  /// @brief A request, or whatever the limit is proportional to.
  void OnEarned(MonotonicTime now);
  /// @param share of the fixed amount.
  /// @return true when another send is granted; it is then counted.
  [[nodiscard]] bool TryTake(const membership::HostShare& share,
                             MonotonicTime now);
  /// @return sends that would be granted now.
  [[nodiscard]] std::uint32_t Remaining(const membership::HostShare& share,
                                        MonotonicTime now) const;
  [[nodiscard]] const RetryCounts& Counts() const { return counts_; }

 private:
  [[nodiscard]] std::uint32_t RemainingFixed(const membership::HostShare& share,
                                             MonotonicTime now) const;

  Options options_;
  double partly_earned_ = 0;  ///< Less than one retry.
  EventWindow earned_;        ///< Not taken yet.
  EventWindow taken_fixed_;
  RetryCounts counts_;
};

}  // namespace medlarcroft::retries

#endif  // MEDLARCROFT_RETRIES_RETRY_BUDGET_H_
