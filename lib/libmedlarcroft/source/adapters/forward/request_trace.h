#ifndef MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TRACE_H_
#define MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TRACE_H_

#include <map>
#include <optional>
#include <string_view>

#include "adapters/http/http_message.h"
#include "medlarcroft/request_path/request_path.h"
#include "medlarcroft/telemetry/tracer.h"

namespace medlarcroft::adapters {

/// @brief The spans of one request: one for this host, and below it one for
/// each send to a target. A request that is not sampled has none, and what its
/// caller said of its trace is sent on unchanged.
class RequestTrace {
 public:
  /// @param id the caller's own name for the request.
  RequestTrace(telemetry::Tracer& tracer,
               const HttpRequest& call,
               std::string_view id);

  /// @brief Begins a send's span, and names it to the target in `call`.
  void OnSend(const request_path::SendAttempt& attempt, HttpRequest& call);
  void OnAttemptEnd(request_path::AttemptNumber attempt,
                    request_path::AttemptEnd end);
  /// @brief Ends this host's span, and those of sends that are given up.
  void OnAnswer(int status);
  void OnEnding(const request_path::RequestFailure& ending);

 private:
  telemetry::Tracer& tracer_;
  std::optional<telemetry::ActiveSpan> request_;  ///< Absent: not sampled.
  std::map<request_path::AttemptNumber, telemetry::ActiveSpan> attempts_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TRACE_H_
