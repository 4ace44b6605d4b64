#include "medlarcroft/request_path/retry_budget_share.h"

#include <algorithm>

namespace medlarcroft::request_path {

namespace {

// Windows of different hosts and of whoever checks the bound begin at
// different times, and a send arrives later than it is counted.
constexpr double kUsedPart = 0.85;

}  // namespace

RetryBudgetShare::RetryBudgetShare(const RetryLimit& bound)
    : bound_(bound), requests_(bound.window), further_sends_(bound.window) {}

double RetryBudgetShare::Left(std::uint32_t hosts, MonotonicTime now) const {
  const double granted =
      kUsedPart * (bound_.ratio * requests_.Count(now) +
                   bound_.fixed / static_cast<double>(std::max(hosts, 1U)));
  return granted - further_sends_.Count(now);
}

bool RetryBudgetShare::TryTake(std::uint32_t hosts, MonotonicTime now) {
  if (Left(hosts, now) < 1.0) {
    return false;
  }
  further_sends_.Add(now);
  return true;
}

}  // namespace medlarcroft::request_path
