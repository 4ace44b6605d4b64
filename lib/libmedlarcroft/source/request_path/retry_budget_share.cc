#include "medlarcroft/request_path/retry_budget_share.h"

namespace medlarcroft::request_path {

namespace {

// Fraction of the limit that is used. The rest allows for windows that start at
// different times on other hosts and on whoever checks the limit, and for sends
// that arrive later than they are counted.
constexpr double kUsableFraction = 0.85;

}  // namespace

RetryBudgetShare::RetryBudgetShare(const RetryLimit& bound)
    : bound_(bound), requests_(bound.window), retries_(bound.window) {}

double RetryBudgetShare::Remaining(const membership::HostShare& share,
                                   MonotonicTime now) const {
  const double granted =
      kUsableFraction * (bound_.ratio * requests_.Count(now) +
                         bound_.fixed * share.Of(bound_.window, now));
  return granted - retries_.Count(now);
}

bool RetryBudgetShare::TryTake(const membership::HostShare& share,
                               MonotonicTime now) {
  if (Remaining(share, now) < 1.0) {
    return false;
  }
  retries_.Add(now);
  return true;
}

}  // namespace medlarcroft::request_path
