#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TELEMETRY_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TELEMETRY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "adapters/forward/request_codec.h"
#include "medlarcroft/request_path/request_path.h"
#include "medlarcroft/routing/routing_configuration.h"
#include "medlarcroft/telemetry/metrics.h"

namespace medlarcroft::adapters {

[[nodiscard]] std::string_view NameOf(request_path::EndReason reason);
[[nodiscard]] std::string_view NameOf(request_path::AttemptEnd end);

/// @brief Logs and counts what is decided on requests. Good requests share an
/// allowance of lines a second and the next line says how many were held back;
/// each failure and refusal has a line or is counted the same way.
class RequestTelemetry {
 public:
  explicit RequestTelemetry(telemetry::MetricsRegistry& metrics);

  void OnSend(std::string_view id,
              const routing::Route& route,
              const request_path::SendAttempt& attempt);
  void OnAttemptEnd(std::string_view id,
                    const request_path::SendAttempt& attempt,
                    request_path::AttemptEnd end,
                    Duration since_arrival);
  void OnAnswer(std::string_view id,
                const routing::Route& route,
                int status,
                Duration since_arrival);
  /// @param route null when none was found.
  void OnEnding(const DecodedCall& call,
                const routing::Route* route,
                const request_path::Ending& ending,
                std::uint64_t configuration_version,
                Duration since_arrival);
  void OnCallerGone(std::string_view id, Duration since_arrival);

 private:
  telemetry::MetricsRegistry& metrics_;
  telemetry::Counter& answered_;
  telemetry::Counter& caller_gone_;
  telemetry::Counter& first_sends_;
  telemetry::Counter& further_sends_;
  telemetry::LatencyHistogram& answer_time_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TELEMETRY_H_
