#ifndef MEDLARCROFT_DECISION_RETRY_BUDGET_H_
#define MEDLARCROFT_DECISION_RETRY_BUDGET_H_

namespace medlarcroft::decision {

/// @brief Token bucket for retries and hedges, refilled by successful requests.
///
/// When targets fail or shed many requests at once, unlimited retries multiply
/// the load at the time of least capacity. With a refill of a tenth of a token
/// per success, retries add at most 10% to the load, and nothing once successes
/// stop and the accumulated tokens are spent. A busy service may accumulate the
/// tokens of one second, so that many connections that break at the same time,
/// which costs the targets nothing, do not use up the budget for all requests.
class RetryBudget {
 public:
  RetryBudget(double ratio, double burst);

  /// @param requests_per_second current arrival rate of requests.
  void OnSuccess(double requests_per_second);
  /// Takes a token for an additional attempt.
  /// @return whether a token was available.
  [[nodiscard]] bool TryTake();
  [[nodiscard]] double Tokens() const { return tokens_; }

 private:
  double ratio_;
  double burst_;
  double tokens_;
};

}  // namespace medlarcroft::decision

#endif  // MEDLARCROFT_DECISION_RETRY_BUDGET_H_
