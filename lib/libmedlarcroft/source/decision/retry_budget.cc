#include "medlarcroft/decision/retry_budget.h"

#include <algorithm>

namespace medlarcroft::decision {

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio_(ratio), burst_(burst), tokens_(burst) {}

void RetryBudget::OnSuccess(double requests_per_second) {
  const double max_tokens = std::max(burst_, ratio_ * requests_per_second);
  tokens_ = std::min(max_tokens, tokens_ + ratio_);
}

bool RetryBudget::TryTake() {
  if (tokens_ < 1.0)
    return false;

  tokens_ -= 1.0;
  return true;
}

}  // namespace medlarcroft::decision
