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
/// each send to a target. A request that is not sampled has no spans, and its
/// caller's trace header is forwarded unchanged.
class RequestTrace {
 public:
  /// @param id request identifier assigned by the caller.
  RequestTrace(telemetry::Tracer& tracer,
               const HttpRequest& call,
               std::string_view id);

  /// @brief Starts the span of a send, and sets the trace header of `call` so
  /// that this span is the parent of the target's spans.
  void OnSend(const request_path::SendAttempt& attempt, HttpRequest& call);
  void OnAttemptEnd(request_path::AttemptNumber attempt,
                    request_path::AttemptEnd end);
  /// @brief Ends this host's span and the spans of abandoned sends.
  void OnAnswer(int status);
  void OnEnding(const request_path::RequestFailure& failure);

 private:
  telemetry::Tracer& tracer_;
  std::optional<telemetry::ActiveSpan>
      request_span_;  ///< nullopt: not sampled.
  std::map<request_path::AttemptNumber, telemetry::ActiveSpan> attempt_spans_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_FORWARD_REQUEST_TRACE_H_
