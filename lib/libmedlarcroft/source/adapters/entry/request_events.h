#ifndef MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_EVENTS_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_EVENTS_H_

#include <memory>
#include <string>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/decision/request.h"
#include "medlarcroft/telemetry/tracer.h"

namespace medlarcroft::adapters {

struct ServiceRequest;

/// @brief Trace context and span of one attempt.
struct AttemptTrace {
  /// Value of the traceparent header for the next hop; if empty, the header is
  /// not sent.
  std::string trace_parent;
  std::shared_ptr<telemetry::ActiveSpan> span;
};

/// @brief One finished attempt.
struct AttemptEvent {
  const ServiceRequest& request;
  const TargetName& target;
  decision::AttemptOutcome outcome;
  Duration latency{0};
  const AttemptTrace& trace;
};

/// @brief Observer of request processing, for metrics, traces and logs. Called
/// with the engine's lock held, so implementations must be fast.
class RequestEvents {
 public:
  virtual ~RequestEvents() = default;

  /// @return the trace context to send with the attempt.
  virtual AttemptTrace OnAttemptStart(const ServiceRequest& request,
                                      const TargetName& target,
                                      decision::DispatchKind kind) = 0;
  virtual void OnAttemptEnd(const AttemptEvent& event) = 0;
  virtual void OnRefused(const ServiceRequest& request,
                         const decision::Refusal& refusal) = 0;
  /// A connection was open but carried no data until the timeout.
  virtual void OnSilentConnection(const TargetName& target) = 0;
  /// A target that did not rest asked for it.
  /// @param length including the time by which this host returns later.
  /// @param attempt whose answer asked for it.
  virtual void OnRestStarted(const TargetName& target,
                             Duration length,
                             std::string_view attempt) = 0;
  virtual void OnRestEnded(const TargetName& target) = 0;
  /// The target says that it leaves, which was not known.
  virtual void OnLeavingStated(const TargetName& target,
                               std::string_view attempt) = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_REQUEST_EVENTS_H_
