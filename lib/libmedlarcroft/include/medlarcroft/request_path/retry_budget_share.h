#ifndef MEDLARCROFT_REQUEST_PATH_RETRY_BUDGET_SHARE_H_
#define MEDLARCROFT_REQUEST_PATH_RETRY_BUDGET_SHARE_H_

#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/host_share.h"
#include "medlarcroft/request_path/event_window.h"

namespace medlarcroft::request_path {

/// @brief Limit on the retries of one service's requests, for all hosts
/// together.
struct RetryLimit {
  double ratio = 0.2;  ///< Retries per request.
  double fixed = 50;  ///< Additional retries per window, of all hosts together.
  Duration window = std::chrono::seconds(10);
};

/// @brief This host's share of the retry limit of one service.
///
/// When many targets fail at the same time and every request is retried, the
/// retries can add so much load that the targets cannot recover. Each host may
/// retry a fraction of the requests it received itself, plus an equal share of
/// the fixed amount. The sum over all hosts therefore stays within the limit
/// without any coordination, and a disconnected host still has its share.
class RetryBudgetShare {
 public:
  explicit RetryBudgetShare(const RetryLimit& bound);

  void OnRequest(MonotonicTime now) { requests_.Add(now); }
  /// @param share of the fixed amount.
  /// @return true when another send is granted; it is then counted.
  [[nodiscard]] bool TryTake(const membership::HostShare& share,
                             MonotonicTime now);
  [[nodiscard]] double Remaining(const membership::HostShare& share,
                                 MonotonicTime now) const;

 private:
  RetryLimit bound_;
  EventWindow requests_;
  EventWindow retries_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_RETRY_BUDGET_SHARE_H_
