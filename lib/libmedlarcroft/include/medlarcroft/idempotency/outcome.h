#ifndef MEDLARCROFT_IDEMPOTENCY_OUTCOME_H_
#define MEDLARCROFT_IDEMPOTENCY_OUTCOME_H_

namespace medlarcroft::idempotency {

/// @brief The outcome of a request as reported to its caller.
enum class Outcome {
  kRan,     ///< It ran once.
  kNotRun,  ///< Proved: no attempt with this key has been dispatched so far.
  kUnknown,
};

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_OUTCOME_H_
