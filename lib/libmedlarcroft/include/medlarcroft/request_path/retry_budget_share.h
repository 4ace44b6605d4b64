#ifndef MEDLARCROFT_REQUEST_PATH_RETRY_BUDGET_SHARE_H_
#define MEDLARCROFT_REQUEST_PATH_RETRY_BUDGET_SHARE_H_

#include <cstdint>

#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/event_window.h"

namespace medlarcroft::request_path {

/// @brief The bound that all hosts together keep on further sends of one
/// service's requests.
struct RetryLimit {
  double ratio = 0.2;  ///< Further sends for each request.
  double fixed = 50;   ///< On top, in each window, of all hosts together.
  Duration window = std::chrono::seconds(10);
};

/// @brief One host's part of that bound.
///
/// Load: many targets fail at once and every request asks for another try.
/// Harm prevented: the tries become a load of their own that keeps the targets
/// down. Each host spends from the requests that it took itself and from an
/// equal part of the fixed amount, so the sum over all hosts holds whatever
/// they know of each other; a host that is cut off has its part all the same.
class RetryBudgetShare {
 public:
  explicit RetryBudgetShare(const RetryLimit& bound);

  void OnRequest(MonotonicTime now) { requests_.Add(now); }
  /// @param hosts that share the fixed part: all that may be sending.
  /// @return true when another send is granted; it is then counted.
  [[nodiscard]] bool TryTake(std::uint32_t hosts, MonotonicTime now);
  [[nodiscard]] double Left(std::uint32_t hosts, MonotonicTime now) const;

 private:
  RetryLimit bound_;
  EventWindow requests_;
  EventWindow further_sends_;
};

}  // namespace medlarcroft::request_path

#endif  // MEDLARCROFT_REQUEST_PATH_RETRY_BUDGET_SHARE_H_
