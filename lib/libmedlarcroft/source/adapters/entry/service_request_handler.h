#ifndef MEDLARCROFT_ADAPTERS_ENTRY_SERVICE_REQUEST_HANDLER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_SERVICE_REQUEST_HANDLER_H_

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "adapters/entry/caller_disconnect_monitor.h"
#include "adapters/entry/claim_worker.h"
#include "adapters/entry/entry_telemetry.h"
#include "adapters/entry/host_forwarder.h"
#include "adapters/entry/idempotency_guard.h"
#include "adapters/entry/request_engine.h"
#include "adapters/entry/shift_chooser.h"
#include "adapters/http/http_server.h"

namespace medlarcroft::adapters {

/// @brief Handles callers' requests for services, from parsing to the final
/// answer.
class ServiceRequestHandler {
 public:
  struct Dependencies {
    HostName host;
    const ports::Clock& clock;
    /// Longest time for which a request may use a slot; the leases of slots
    /// rely on this limit.
    Duration max_work{0};
    RequestEngine& engine;
    IdempotencyGuard& keys;
    HostForwarder& forwarder;
    ShiftChooser& shifts;
    CallerDisconnectMonitor& caller_monitor;
    EntryTelemetry& telemetry;
    ClaimWorker* claims = nullptr;  ///< If null, durable keys are refused.
  };

  explicit ServiceRequestHandler(const Dependencies& dependencies)
      : dependencies_(dependencies) {}

  [[nodiscard]] std::optional<HttpResponse> Serve(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder);

  /// @brief This host shuts down: from now on, requests that may take longer
  /// than until `due` are refused. Any thread may call it.
  void AnswerBy(MonotonicTime due) { answers_due_ = due; }

  /// @return the response to a request that arrives while this host accepts no
  /// new ones.
  [[nodiscard]] HttpResponse RefuseWhileStopping(
      const HttpRequest& request) const;

  /// @return the response to POST /v1/keys.
  [[nodiscard]] HttpResponse IssueKeys(const HttpRequest& request);

 private:
  using SharedRequest = std::shared_ptr<const ServiceRequest>;

  /// State of one request while it is handled.
  struct RequestContext {
    SharedRequest request;
    SharedRoutingTable routes;
    const ServiceRoute* service = nullptr;
    ResultCallback done;
    std::shared_ptr<Responder> responder;
    std::optional<forwarding::ForwardClaim> forward;
    MonotonicTime deadline;
  };

  [[nodiscard]] std::optional<ProblemCode> PrepareRequest(
      RequestContext& context) const;
  void RunNonIdempotent(RequestContext context);
  void RunAfterClaim(RequestContext context, const idempotency::Key& key);
  /// @return a callback that records the result in the idempotency ledger and
  /// then calls `done`.
  [[nodiscard]] ResultCallback RecordResultThen(const idempotency::Key& key,
                                                ResultCallback done);
  /// @return a callback that releases the key, so that a later attempt is
  /// decided afresh, and then calls `done`.
  [[nodiscard]] ResultCallback ReleaseThen(const idempotency::Key& key,
                                           ResultCallback done);
  void ForwardToHost(const RequestContext& context,
                     const ForwardToIssuerDecision& destination);
  void PlaceOrShift(RequestContext context);
  void PlaceLocally(RequestContext context);
  [[nodiscard]] ResultCallback MakeResponseCallback(
      const SharedRequest& request,
      const std::shared_ptr<Responder>& responder) const;
  static void RespondWithProblem(const RequestContext& context,
                                 ProblemCode code,
                                 decision::RunState run_state);

  const Dependencies dependencies_;
  std::atomic<MonotonicTime> answers_due_{MonotonicTime::max()};
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_SERVICE_REQUEST_HANDLER_H_
