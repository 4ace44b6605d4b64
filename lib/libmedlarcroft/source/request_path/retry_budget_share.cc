#include "medlarcroft/request_path/retry_budget_share.h"

#include <algorithm>

namespace medlarcroft::request_path {

namespace {

// Fraction of the limit that is used. The rest allows for windows that start at
// different times on other hosts and on whoever checks the limit, and for sends
// that arrive later than they are counted.
constexpr double kUsableFraction = 0.85;

}  // namespace

RetryBudgetShare::RetryBudgetShare(const RetryLimit& bound)
    : bound_(bound), requests_(bound.window), retries_(bound.window) {}

double RetryBudgetShare::Remaining(std::uint32_t hosts,
                                   MonotonicTime now) const {
  const double granted =
      kUsableFraction *
      (bound_.ratio * requests_.Count(now) +
       bound_.fixed / static_cast<double>(std::max(hosts, 1U)));
  return granted - retries_.Count(now);
}

bool RetryBudgetShare::TryTake(std::uint32_t hosts, MonotonicTime now) {
  if (Remaining(hosts, now) < 1.0) {
    return false;
  }
  retries_.Add(now);
  return true;
}

}  // namespace medlarcroft::request_path
