#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TELEMETRY_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TELEMETRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/forward/request_codec.h"
#include "adapters/process/log.h"
#include "medlarcroft/ports/clock.h"
#include "medlarcroft/request_path/request_path.h"
#include "medlarcroft/routing/routing_configuration.h"
#include "medlarcroft/telemetry/metrics.h"
#include "medlarcroft/telemetry/request_log_sampler.h"

namespace medlarcroft::adapters {

[[nodiscard]] std::string_view NameOf(request_path::FailureReason reason);
[[nodiscard]] std::string_view NameOf(request_path::AttemptEnd end);

/// @brief The start or the end of a send, buffered until it is known whether
/// the request is logged.
struct BufferedAttempt {
  WallTime at;
  request_path::SendAttempt attempt;
  std::optional<request_path::AttemptEnd> end;  ///< nullopt: the start.
  Duration since_arrival{0};
  std::optional<ResponseProof> proof;  ///< nullopt: without a response.
};

/// @brief The logging state of one request.
struct RequestLogBuffer {
  /// Whether the request is logged for its identifier; nullopt before its first
  /// line.
  std::optional<bool> is_sampled_by_id;
  std::vector<BufferedAttempt> attempts;
};

/// @brief Counts the decisions on requests, and logs some of the requests, each
/// with all its lines; see `RequestLogSampler`. The final line of a request
/// states how many requests were not logged since the previous final line.
class RequestTelemetry {
 public:
  RequestTelemetry(telemetry::MetricsRegistry& metrics,
                   const ports::Clock& clock);

  void OnSend(RequestLogBuffer& lines,
              std::string_view id,
              const routing::Route& route,
              const request_path::SendAttempt& attempt);
  void OnAttemptEnd(RequestLogBuffer& lines,
                    std::string_view id,
                    const request_path::SendAttempt& attempt,
                    request_path::AttemptEnd end,
                    Duration since_arrival,
                    const std::optional<ResponseProof>& proof);
  void OnAnswer(RequestLogBuffer& lines,
                std::string_view id,
                const routing::Route& route,
                int status,
                Duration since_arrival);
  /// @param start without a route when none matched.
  void OnEnding(RequestLogBuffer& lines,
                const DecodedRequest& call,
                const request_path::RequestStart& start,
                const request_path::RequestFailure& failure,
                std::uint64_t configuration_version,
                Duration since_arrival);
  void OnCallerGone(RequestLogBuffer& lines,
                    std::string_view id,
                    const routing::Route& route,
                    Duration since_arrival);

 private:
  [[nodiscard]] bool IsSampledById(RequestLogBuffer& lines,
                                   std::string_view id);
  /// @brief Decides whether a request is logged at its end. Writes the buffered
  /// lines of a request that was not logged for its identifier.
  /// @param route null when no route matched.
  /// @return whether its final line is to be written.
  [[nodiscard]] bool SampleAtEnd(RequestLogBuffer& lines,
                                 std::string_view id,
                                 const routing::Route* route,
                                 telemetry::RequestOutcome outcome);
  [[nodiscard]] LogLine FinalLogLine(LogLevel level, std::string_view event);

  telemetry::MetricsRegistry& metrics_;
  const ports::Clock& clock_;
  telemetry::RequestLogSampler budget_;
  telemetry::Counter& answered_;
  telemetry::Counter& caller_gone_;
  telemetry::Counter& first_sends_;
  telemetry::Counter& further_sends_;
  telemetry::LatencyHistogram& answer_latency_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TELEMETRY_H_
