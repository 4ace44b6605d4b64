#ifndef MEDLARCROFT_TELEMETRY_REQUEST_LOG_SAMPLER_H_
#define MEDLARCROFT_TELEMETRY_REQUEST_LOG_SAMPLER_H_

#include <cstdint>
#include <string_view>
#include <utility>

#include "medlarcroft/core/time.h"

namespace medlarcroft::telemetry {

/// @brief How a request ended, for whoever may have to explain it.
enum class RequestOutcome {
  kServed,
  kLate,                 ///< Answered past its objective, or its caller left.
  kFailed,               ///< Refused or failed by this host.
  kNonIdempotentFailed,  ///< The same, of a request that is not idempotent.
};

[[nodiscard]] std::string_view NameOf(RequestOutcome outcome);

/// @brief Decides which requests are logged, each with all its lines or with
/// none.
///
/// Load: thousands of requests a second, of which many may fail at once. Harm
/// prevented: a limit on lines alone lets parts of requests through, so that an
/// id that is found can't be explained; and without a limit lines cost more
/// than the requests. A hash of the id selects some, whatever becomes of them;
/// others are selected at their end, orders that failed before the rest.
class RequestLogSampler {
 public:
  /// Most requests a second that are logged for their id.
  static constexpr std::uint32_t kById = 20;
  /// Most requests a second that are logged for their end. A part of it is kept
  /// for the graver outcomes: an order that may have run has to be found.
  static constexpr std::uint32_t kAtEnd = 20;

  /// @brief Asked once a request, at its first line.
  [[nodiscard]] bool SampleById(std::string_view id, MonotonicTime now);
  /// @brief Asked at the end of a request that is not logged for its id.
  [[nodiscard]] bool SampleAtEnd(RequestOutcome outcome, MonotonicTime now);
  /// @return how many requests were left out since it was last asked.
  [[nodiscard]] std::uint64_t TakeUnsampledCount() {
    return std::exchange(left_out_, 0);
  }

 private:
  void Advance(MonotonicTime now);

  MonotonicTime began_{};
  std::uint32_t arrived_ = 0;
  std::uint32_t chosen_by_id_ = 0;
  std::uint32_t chosen_at_end_ = 0;
  /// Requests whose hash is below it are logged for their id.
  std::uint64_t chosen_below_ = UINT64_MAX;
  std::uint64_t left_out_ = 0;
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_REQUEST_LOG_SAMPLER_H_
