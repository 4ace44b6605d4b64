#ifndef MEDLARCROFT_TELEMETRY_REQUEST_LOG_SAMPLER_H_
#define MEDLARCROFT_TELEMETRY_REQUEST_LOG_SAMPLER_H_

#include <cstdint>
#include <string_view>
#include <utility>

#include "medlarcroft/core/time.h"

namespace medlarcroft::telemetry {

/// @brief How a request ended, in order of increasing severity.
enum class RequestOutcome {
  kServed,
  kLate,    ///< Answered after its objective, or cancelled by its caller.
  kFailed,  ///< Refused or failed on this host.
  kNonIdempotentFailed,  ///< Like kFailed, for a non-idempotent request.
};

[[nodiscard]] std::string_view NameOf(RequestOutcome outcome);

/// @brief Samples the requests to log. A request is logged with all of its
/// lines or not at all.
///
/// A host handles thousands of requests per second, many of which may fail at
/// once. Without a limit, logging would cost more than the requests. A limit on
/// lines alone would log requests in part, so that an id found in the log could
/// not be explained. Some requests are therefore sampled by a hash of their id,
/// whatever their outcome; others are sampled when they end, with priority for
/// failed requests that are not idempotent.
class RequestLogSampler {
 public:
  /// Maximum number of requests per second that are sampled by id.
  static constexpr std::uint32_t kMaxByIdPerSecond = 20;
  /// Maximum number of requests per second that are sampled by outcome. Part of
  /// it is reserved for the more severe outcomes: a non-idempotent request that
  /// may have run must be found in the log.
  static constexpr std::uint32_t kMaxAtEndPerSecond = 20;

  /// @brief Decides at the first line of a request; call it once per request.
  [[nodiscard]] bool SampleById(std::string_view id, MonotonicTime now);
  /// @brief Decides at the end of a request that was not sampled by id.
  [[nodiscard]] bool SampleAtEnd(RequestOutcome outcome, MonotonicTime now);
  /// @return the number of requests not logged since the previous call.
  [[nodiscard]] std::uint64_t TakeUnsampledCount() {
    return std::exchange(unsampled_count_, 0);
  }

 private:
  void Advance(MonotonicTime now);

  MonotonicTime window_start_{};
  std::uint32_t request_count_ = 0;
  std::uint32_t sampled_by_id_ = 0;
  std::uint32_t sampled_at_end_ = 0;
  /// Requests are sampled by id if their hash is not above this.
  std::uint64_t max_sampled_hash_ = UINT64_MAX;
  std::uint64_t unsampled_count_ = 0;
};

}  // namespace medlarcroft::telemetry

#endif  // MEDLARCROFT_TELEMETRY_REQUEST_LOG_SAMPLER_H_
