#ifndef MEDLARCROFT_ADAPTERS_ENTRY_SERVICE_REQUEST_HANDLER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_SERVICE_REQUEST_HANDLER_H_

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

/// @brief The request path: from a caller's bytes to its final answer.
class ServiceRequestHandler {
 public:
  struct Parts {
    HostName host;
    const ports::Clock& clock;
    /// Longest time that work may use a slot: leases of slots count on its end.
    Duration max_work{0};
    RequestEngine& engine;
    IdempotencyGuard& keys;
    HostForwarder& forwarder;
    ShiftChooser& shifts;
    CallerDisconnectMonitor& callers;
    EntryTelemetry& telemetry;
    ClaimWorker* claims = nullptr;  ///< None: durable keys are refused.
  };

  explicit ServiceRequestHandler(const Parts& parts) : parts_(parts) {}

  [[nodiscard]] std::optional<HttpResponse> Serve(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder);

  /// @return answer to a request that comes while nothing new is taken.
  [[nodiscard]] HttpResponse RefuseStopping(const HttpRequest& request) const;

  /// @return answer to POST /v1/keys.
  [[nodiscard]] HttpResponse IssueKeys(const HttpRequest& request);

 private:
  using SharedRequest = std::shared_ptr<const ServiceRequest>;

  /// What one request needs on its way.
  struct Passage {
    SharedRequest request;
    SharedRoutingTable routes;
    const ServiceRoute* service = nullptr;
    ResultCallback done;
    std::shared_ptr<Responder> responder;
    std::optional<forwarding::ForwardClaim> forward;
    MonotonicTime deadline;
  };

  [[nodiscard]] std::optional<ProblemCode> Admit(Passage& passage) const;
  void RunGuardedRequest(Passage passage);
  void RunClaimed(Passage passage, const idempotency::Key& key);
  /// @return a callback that notes the result of a run in the ledger first.
  [[nodiscard]] ResultCallback SettleThen(const idempotency::Key& key,
                                          ResultCallback done);
  /// @return a callback that lets a later attempt decide anew.
  [[nodiscard]] ResultCallback ReleaseThen(const idempotency::Key& key,
                                           ResultCallback done);
  void PassOn(const Passage& passage, const ForwardToIssuerDecision& verdict);
  void Place(Passage passage);
  void PlaceHere(Passage passage);
  [[nodiscard]] ResultCallback AnswerTo(
      const SharedRequest& request,
      const std::shared_ptr<Responder>& responder) const;
  static void Fail(const Passage& passage,
                   ProblemCode code,
                   decision::RunState run_state);

  const Parts parts_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_SERVICE_REQUEST_HANDLER_H_
