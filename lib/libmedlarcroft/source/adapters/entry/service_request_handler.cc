#include "adapters/entry/service_request_handler.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

using decision::RunState;

/// A caller that needs more keys sends another request.
constexpr std::size_t kMaxKeysPerRequest = 64;

/// Other hosts can serve at once: the caller tries the next host in its lookup
/// result.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(100);

/// Time in which a newly started host usually receives its routes.
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(1);

/// Gives the platform time to recover before the caller retries a claim that
/// could not be resolved.
constexpr Duration kClaimRetryAfter = std::chrono::seconds(1);

std::size_t ParseCount(std::optional<std::string_view> text) {
  std::size_t count = 1;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), count);
  }
  return std::clamp<std::size_t>(count, 1, kMaxKeysPerRequest);
}

idempotency::Mode ModeOf(const ServiceRoute& service) {
  return service.config.request_class.key_mode == catalogue::KeyMode::kDurable
             ? idempotency::Mode::kDurable
             : idempotency::Mode::kLocal;
}

}  // namespace

std::optional<HttpResponse> ServiceRequestHandler::Serve(
    HttpRequest request,
    const std::shared_ptr<Responder>& responder) {
  const std::string trace_parent(
      request.headers.Find(protocol::kTraceParent).value_or(""));
  const RunState run_state_if_refused = dependencies_.keys.RunStateIfRefused(
      request.headers.Find(protocol::kIdempotencyKey));
  auto parsed = ParseServiceRequest(std::move(request));
  if (!IsOk(parsed)) {
    return MakeProblem(ErrorOf(parsed), run_state_if_refused);
  }
  const auto service_request =
      std::make_shared<ServiceRequest>(TakeValue(std::move(parsed)));
  service_request->span =
      dependencies_.telemetry.StartRequest(*service_request, trace_parent);

  RequestContext context;
  context.request = service_request;
  context.responder = responder;
  context.done = MakeResponseCallback(service_request, responder);
  if (const auto problem = PrepareRequest(context)) {
    return MakeProblem(*problem, run_state_if_refused,
                       *problem == ProblemCode::kStopping
                           ? kStoppingRetryAfter
                           : kNotReadyRetryAfter);
  }

  const bool is_guarded_by_sender =
      context.forward &&
      context.forward->kind == forwarding::ForwardKind::kShift;
  if (context.service->config.request_class.IsIdempotent()) {
    PlaceOrShift(std::move(context));
  } else if (!is_guarded_by_sender) {
    RunNonIdempotent(std::move(context));
  } else if (dependencies_.forwarder.AdmitOnce(*context.request)) {
    PlaceLocally(std::move(context));
  } else {
    // The first delivery of the same forwarded request may have run.
    return MakeProblem(ProblemCode::kOutcomeUnknown, RunState::kUnknown);
  }
  return std::nullopt;
}

std::optional<ProblemCode> ServiceRequestHandler::PrepareRequest(
    RequestContext& context) const {
  context.routes = dependencies_.engine.Routes();
  if (!context.routes) {
    return ProblemCode::kNotReady;
  }
  context.service = context.routes->Find(context.request->service);
  if (context.service == nullptr) {
    return ProblemCode::kUnknownService;
  }
  if (context.request->forwarded_by) {
    context.forward = dependencies_.forwarder.Verify(*context.request);
    if (!context.forward) {
      return ProblemCode::kBadForward;
    }
  }
  const Duration time_left = context.request->time_left.value_or(
      context.service->config.request_class.deadline);
  context.deadline =
      dependencies_.clock.Now() + std::min(time_left, dependencies_.max_work);
  // Guards against requests that the end of this process cuts: other hosts have
  // all the time that they may take.
  return context.deadline > answers_due_.load()
             ? std::optional(ProblemCode::kStopping)
             : std::nullopt;
}

void ServiceRequestHandler::RunNonIdempotent(RequestContext context) {
  GuardDecision guard_decision = dependencies_.keys.Begin(
      *context.request, context.service->config.request_class.max_answer_bytes,
      context.done);
  if (auto* answer = std::get_if<AnswerDecision>(&guard_decision)) {
    context.done(std::move(answer->result));
    return;
  }
  if (const auto* elsewhere =
          std::get_if<ForwardToIssuerDecision>(&guard_decision)) {
    ForwardToHost(context, *elsewhere);
    return;
  }
  const auto* run = std::get_if<ProceedDecision>(&guard_decision);
  if (run == nullptr) {
    return;
  }

  const idempotency::Key key = run->key;
  if (key.mode == idempotency::Mode::kDurable) {
    RunAfterClaim(std::move(context), key);
    return;
  }
  context.done = RecordResultThen(key, std::move(context.done));
  PlaceOrShift(std::move(context));
}

ResultCallback ServiceRequestHandler::RecordResultThen(
    const idempotency::Key& key,
    ResultCallback done) {
  return [this, key, done = std::move(done)](RequestResult result) {
    // Update the ledger before answering: a retry that follows the answer must
    // find the result there.
    if (key.mode == idempotency::Mode::kDurable &&
        result.run_state != RunState::kNotRun) {
      dependencies_.claims->MarkDispatched(key);
    }
    dependencies_.keys.RecordResult(key, result);
    done(std::move(result));
  };
}

ResultCallback ServiceRequestHandler::ReleaseThen(const idempotency::Key& key,
                                                  ResultCallback done) {
  return [this, key, done = std::move(done)](RequestResult result) {
    dependencies_.keys.Release(key, result);
    done(std::move(result));
  };
}

void ServiceRequestHandler::RunAfterClaim(RequestContext context,
                                          const idempotency::Key& key) {
  const auto shared_context =
      std::make_shared<RequestContext>(std::move(context));
  const auto on_claim = [this, shared_context,
                         key](idempotency::ClaimResult result) {
    if (std::holds_alternative<idempotency::Claimed>(result)) {
      shared_context->done =
          RecordResultThen(key, std::move(shared_context->done));
      PlaceOrShift(std::move(*shared_context));
      return;
    }

    shared_context->done = ReleaseThen(key, std::move(shared_context->done));
    const auto* other_claim =
        std::get_if<idempotency::ClaimedElsewhere>(&result);
    if (other_claim != nullptr && other_claim->claimant) {
      // This request is a duplicate; the host that claimed the key knows its
      // result.
      ForwardToHost(*shared_context,
                    ForwardToIssuerDecision{other_claim->claimant->host});
    } else if (std::holds_alternative<idempotency::Fenced>(result)) {
      RespondWithProblem(*shared_context, ProblemCode::kClaimUnresolved,
                         RunState::kNotRun);
    } else {
      RespondWithProblem(*shared_context, ProblemCode::kClaimUnresolved,
                         RunState::kUnknown);
    }
  };

  if (dependencies_.claims == nullptr ||
      !dependencies_.claims->Claim(key, on_claim)) {
    // This host wrote no claim, but another host may have run a duplicate.
    shared_context->done = ReleaseThen(key, std::move(shared_context->done));
    RespondWithProblem(*shared_context, ProblemCode::kClaimUnresolved,
                       RunState::kUnknown);
  }
}

void ServiceRequestHandler::ForwardToHost(
    const RequestContext& context,
    const ForwardToIssuerDecision& destination) {
  // The host itself reports whether it is still the process that issued the
  // key.
  const auto host = context.routes->hosts.find(destination.issuer);
  const bool is_known = host != context.routes->hosts.end() &&
                        !host->second.entry_address.empty();
  // A request that was already forwarded is not forwarded again, which prevents
  // loops.
  if (!is_known || context.forward) {
    RespondWithProblem(context, ProblemCode::kKeyIssuerUnavailable,
                       RunState::kUnknown);
    return;
  }

  const catalogue::RequestClass& request_class =
      context.service->config.request_class;
  dependencies_.forwarder.Send(
      {.request = *context.request,
       .address = host->second.entry_address,
       .kind = forwarding::ForwardKind::kIssuer,
       .time_left = context.deadline - dependencies_.clock.Now(),
       .max_answer_bytes = request_class.max_answer_bytes,
       .is_idempotent = false},
      [done = context.done](RequestResult result) {
        if (result.run_state == RunState::kNotRun && !result.is_target_answer) {
          // An earlier attempt with this key may have run at the issuer, so a
          // failed connection does not prove that the request did not run.
          const bool is_issuer_response =
              result.response.headers.Find(protocol::kHost).has_value();
          if (!is_issuer_response) {
            result = {
                .run_state = RunState::kUnknown,
                .response = MakeProblem(ProblemCode::kKeyIssuerUnavailable,
                                        RunState::kUnknown)};
          }
        }
        done(std::move(result));
      });
}

void ServiceRequestHandler::PlaceOrShift(RequestContext context) {
  const auto shift = context.forward
                         ? std::nullopt
                         : dependencies_.shifts.Choose(*context.service);
  if (!shift) {
    PlaceLocally(std::move(context));
    return;
  }

  const auto shared_context =
      std::make_shared<RequestContext>(std::move(context));
  const catalogue::RequestClass& request_class =
      shared_context->service->config.request_class;
  dependencies_.forwarder.Send(
      {.request = *shared_context->request,
       .address = shift->entry_address,
       .kind = forwarding::ForwardKind::kShift,
       .time_left = shared_context->deadline - dependencies_.clock.Now(),
       .max_answer_bytes = request_class.max_answer_bytes,
       .is_idempotent = request_class.IsIdempotent()},
      [this, shared_context, to = shift->failure_domain](RequestResult result) {
        const bool may_run_here =
            result.run_state == RunState::kNotRun ||
            (result.run_state == RunState::kUnknown &&
             shared_context->service->config.request_class.IsIdempotent());
        dependencies_.shifts.OnAnswer(shared_context->request->service, to,
                                      result.run_state != RunState::kNotRun);
        if (!may_run_here) {
          shared_context->done(std::move(result));
          return;
        }
        PlaceLocally(std::move(*shared_context));
      });
}

void ServiceRequestHandler::PlaceLocally(RequestContext context) {
  const bool is_idempotent =
      context.service->config.request_class.IsIdempotent();
  // Guards against sending what nobody waits for: a host that was held up reads
  // requests after their callers have left. The monitor notices it only a
  // fraction of a second later. A request that may be repeated may have run in
  // the failure domain to which it was shifted before.
  if (context.responder->IsClientDisconnected()) {
    RespondWithProblem(context, ProblemCode::kCallerDisconnected,
                       is_idempotent ? RunState::kUnknown : RunState::kNotRun);
    return;
  }
  const Duration time_left = context.deadline - dependencies_.clock.Now();
  const bool is_shifted_in =
      context.forward &&
      context.forward->kind == forwarding::ForwardKind::kShift;
  const decision::RequestTicket ticket =
      dependencies_.engine.Submit({.request = context.request,
                                   .time_left = time_left,
                                   .is_shifted_in = is_shifted_in,
                                   .done = std::move(context.done)});
  if (ticket.id != 0) {
    dependencies_.caller_monitor.Add(ticket, context.responder, !is_idempotent);
  }
}

ResultCallback ServiceRequestHandler::MakeResponseCallback(
    const SharedRequest& request,
    const std::shared_ptr<Responder>& responder) const {
  return [this, request, responder,
          arrived_at = dependencies_.clock.Now()](RequestResult result) {
    dependencies_.telemetry.EndRequest(*request, result,
                                       dependencies_.clock.Now() - arrived_at);
    if (!result.response.headers.Find(protocol::kHost)) {
      result.response.headers.Add(protocol::kHost, dependencies_.host.Value());
    }
    responder->Send(std::move(result.response));
  };
}

void ServiceRequestHandler::RespondWithProblem(const RequestContext& context,
                                               ProblemCode code,
                                               RunState run_state) {
  context.done({.run_state = run_state,
                .response = MakeProblem(code, run_state,
                                        code == ProblemCode::kClaimUnresolved
                                            ? kClaimRetryAfter
                                            : Duration::zero())});
}

HttpResponse ServiceRequestHandler::RefuseWhileStopping(
    const HttpRequest& request) const {
  return MakeProblem(ProblemCode::kStopping,
                     dependencies_.keys.RunStateIfRefused(
                         request.headers.Find(protocol::kIdempotencyKey)),
                     kStoppingRetryAfter);
}

HttpResponse ServiceRequestHandler::IssueKeys(const HttpRequest& request) {
  const SharedRoutingTable routes = dependencies_.engine.Routes();
  if (!routes) {
    return MakeProblem(ProblemCode::kNotReady, RunState::kNotRun,
                       kNotReadyRetryAfter);
  }
  const ServiceRoute* service =
      routes->Find(ServiceName(request.FindQuery("service").value_or("")));
  if (service == nullptr) {
    return MakeProblem(ProblemCode::kUnknownService, RunState::kNotRun);
  }

  nlohmann::json keys = nlohmann::json::array();
  const std::size_t count = ParseCount(request.FindQuery("count"));
  for (std::size_t i = 0; i < count; ++i) {
    keys.push_back(dependencies_.keys.Issue(ModeOf(*service)));
  }
  HttpResponse response{.status = 201};
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add(protocol::kHost, dependencies_.host.Value());
  response.body = nlohmann::json{{"idempotency_keys", keys}}.dump() + "\n";
  return response;
}

}  // namespace medlarcroft::adapters
