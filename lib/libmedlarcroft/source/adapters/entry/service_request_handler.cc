#include "adapters/entry/service_request_handler.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

using decision::RunState;

/// A caller that needs more asks again.
constexpr std::size_t kMaxKeysAtOnce = 64;

/// A stopping host is replaced by another at once; the caller takes the next
/// host of its look-up.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(100);

/// How soon a fresh host usually has its routes.
constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(1);

/// A claim that could not be settled is worth another try when the platform
/// has had time to come back.
constexpr Duration kClaimRetryAfter = std::chrono::seconds(1);

std::size_t ParseCount(std::optional<std::string_view> text) {
  std::size_t count = 1;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), count);
  }
  return std::clamp<std::size_t>(count, 1, kMaxKeysAtOnce);
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
  const RunState if_refused = parts_.keys.OutcomeIfRefused(
      request.headers.Find(protocol::kIdempotencyKey));
  auto parsed = ParseServiceRequest(std::move(request));
  if (!IsOk(parsed)) {
    return MakeProblem(ErrorOf(parsed), if_refused);
  }
  const auto service_request =
      std::make_shared<ServiceRequest>(TakeValue(std::move(parsed)));
  service_request->span =
      parts_.telemetry.StartRequest(*service_request, trace_parent);

  Passage passage;
  passage.request = service_request;
  passage.responder = responder;
  passage.done = AnswerTo(service_request, responder);
  if (const auto problem = Admit(passage)) {
    return MakeProblem(*problem, if_refused, kNotReadyRetryAfter);
  }

  const bool is_guarded_elsewhere =
      passage.forward &&
      passage.forward->kind == forwarding::ForwardKind::kShift;
  if (passage.service->config.request_class.IsIdempotent()) {
    Place(std::move(passage));
  } else if (!is_guarded_elsewhere) {
    RunGuardedRequest(std::move(passage));
  } else if (parts_.forwarder.AdmitOnce(*passage.request)) {
    PlaceHere(std::move(passage));
  } else {
    // The first arrival may have run.
    return MakeProblem(ProblemCode::kFateUnknown, RunState::kUnknown);
  }
  return std::nullopt;
}

std::optional<ProblemCode> ServiceRequestHandler::Admit(
    Passage& passage) const {
  passage.routes = parts_.engine.Routes();
  if (!passage.routes) {
    return ProblemCode::kNotReady;
  }
  passage.service = passage.routes->Find(passage.request->service);
  if (passage.service == nullptr) {
    return ProblemCode::kUnknownService;
  }
  if (passage.request->forwarded_by) {
    passage.forward = parts_.forwarder.Verify(*passage.request);
    if (!passage.forward) {
      return ProblemCode::kBadForward;
    }
  }
  const Duration time_left = passage.request->time_left.value_or(
      passage.service->config.request_class.deadline);
  passage.deadline = parts_.clock.Now() + std::min(time_left, parts_.max_work);
  return std::nullopt;
}

void ServiceRequestHandler::RunGuardedRequest(Passage passage) {
  GuardDecision verdict = parts_.keys.Begin(
      *passage.request, passage.service->config.request_class.max_answer_bytes,
      passage.done);
  if (auto* answer = std::get_if<AnswerDecision>(&verdict)) {
    passage.done(std::move(answer->result));
    return;
  }
  if (const auto* elsewhere = std::get_if<ForwardToIssuerDecision>(&verdict)) {
    PassOn(passage, *elsewhere);
    return;
  }
  const auto* run = std::get_if<ProceedDecision>(&verdict);
  if (run == nullptr) {
    return;
  }

  const idempotency::Key key = run->key;
  if (key.mode == idempotency::Mode::kDurable) {
    RunClaimed(std::move(passage), key);
    return;
  }
  passage.done = SettleThen(key, std::move(passage.done));
  Place(std::move(passage));
}

ResultCallback ServiceRequestHandler::SettleThen(const idempotency::Key& key,
                                                 ResultCallback done) {
  return [this, key, done = std::move(done)](RequestResult result) {
    // The ledger first: a retry that follows the answer must find it there.
    if (key.mode == idempotency::Mode::kDurable &&
        result.run_state != RunState::kNotRun) {
      parts_.claims->MarkDispatched(key);
    }
    parts_.keys.Settle(key, result);
    done(std::move(result));
  };
}

ResultCallback ServiceRequestHandler::ReleaseThen(const idempotency::Key& key,
                                                  ResultCallback done) {
  return [this, key, done = std::move(done)](RequestResult result) {
    parts_.keys.Release(key, result);
    done(std::move(result));
  };
}

void ServiceRequestHandler::RunClaimed(Passage passage,
                                       const idempotency::Key& key) {
  const auto shared = std::make_shared<Passage>(std::move(passage));
  const auto on_claim = [this, shared, key](idempotency::ClaimResult result) {
    if (std::holds_alternative<idempotency::Claimed>(result)) {
      shared->done = SettleThen(key, std::move(shared->done));
      Place(std::move(*shared));
      return;
    }

    shared->done = ReleaseThen(key, std::move(shared->done));
    const auto* rival = std::get_if<idempotency::ClaimedElsewhere>(&result);
    if (rival != nullptr && rival->claimant) {
      // A duplicate reached this host; the claimant knows what became of it.
      PassOn(*shared, ForwardToIssuerDecision{rival->claimant->host});
    } else if (std::holds_alternative<idempotency::Fenced>(result)) {
      Fail(*shared, ProblemCode::kClaimUnsettled, RunState::kNotRun);
    } else {
      Fail(*shared, ProblemCode::kClaimUnsettled, RunState::kUnknown);
    }
  };

  if (parts_.claims == nullptr || !parts_.claims->Claim(key, on_claim)) {
    // Nothing was written here, but another host may have run a duplicate.
    shared->done = ReleaseThen(key, std::move(shared->done));
    Fail(*shared, ProblemCode::kClaimUnsettled, RunState::kUnknown);
  }
}

void ServiceRequestHandler::PassOn(const Passage& passage,
                                   const ForwardToIssuerDecision& verdict) {
  // Whether it is still the process that issued the key, the host itself says.
  const auto host = passage.routes->hosts.find(verdict.issuer);
  const bool is_known = host != passage.routes->hosts.end() &&
                        !host->second.entry_address.empty();
  // A request that was passed on once already is not sent round in circles.
  if (!is_known || passage.forward) {
    Fail(passage, ProblemCode::kKeyIssuerGone, RunState::kUnknown);
    return;
  }

  const catalogue::RequestClass& request_class =
      passage.service->config.request_class;
  parts_.forwarder.Send(
      {.request = *passage.request,
       .address = host->second.entry_address,
       .kind = forwarding::ForwardKind::kIssuer,
       .time_left = passage.deadline - parts_.clock.Now(),
       .max_answer_bytes = request_class.max_answer_bytes,
       .is_idempotent = false},
      [done = passage.done](RequestResult result) {
        if (result.run_state == RunState::kNotRun && !result.is_target_answer) {
          // An earlier attempt with this key may have run at the issuer, so a
          // failed connection proves nothing here.
          const bool is_issuers_word =
              result.response.headers.Find(protocol::kHost).has_value();
          if (!is_issuers_word) {
            result = {.run_state = RunState::kUnknown,
                      .response = MakeProblem(ProblemCode::kKeyIssuerGone,
                                              RunState::kUnknown)};
          }
        }
        done(std::move(result));
      });
}

void ServiceRequestHandler::Place(Passage passage) {
  const auto shift =
      passage.forward ? std::nullopt : parts_.shifts.Choose(*passage.service);
  if (!shift) {
    PlaceHere(std::move(passage));
    return;
  }

  const auto shared = std::make_shared<Passage>(std::move(passage));
  const catalogue::RequestClass& request_class =
      shared->service->config.request_class;
  parts_.forwarder.Send(
      {.request = *shared->request,
       .address = shift->entry_address,
       .kind = forwarding::ForwardKind::kShift,
       .time_left = shared->deadline - parts_.clock.Now(),
       .max_answer_bytes = request_class.max_answer_bytes,
       .is_idempotent = request_class.IsIdempotent()},
      [this, shared, to = shift->failure_domain](RequestResult result) {
        const bool may_run_here =
            result.run_state == RunState::kNotRun ||
            (result.run_state == RunState::kUnknown &&
             shared->service->config.request_class.IsIdempotent());
        parts_.shifts.OnAnswer(shared->request->service, to,
                               result.run_state != RunState::kNotRun);
        if (!may_run_here) {
          shared->done(std::move(result));
          return;
        }
        PlaceHere(std::move(*shared));
      });
}

void ServiceRequestHandler::PlaceHere(Passage passage) {
  const Duration time_left = passage.deadline - parts_.clock.Now();
  const bool is_shifted_in =
      passage.forward &&
      passage.forward->kind == forwarding::ForwardKind::kShift;
  const decision::RequestTicket ticket =
      parts_.engine.Submit({.request = passage.request,
                            .time_left = time_left,
                            .is_shifted_in = is_shifted_in,
                            .done = std::move(passage.done)});
  const bool is_idempotent =
      passage.service->config.request_class.IsIdempotent();
  if (ticket.id != 0) {
    parts_.callers.Add(ticket, passage.responder, !is_idempotent);
  }
}

ResultCallback ServiceRequestHandler::AnswerTo(
    const SharedRequest& request,
    const std::shared_ptr<Responder>& responder) const {
  return [this, request, responder,
          arrived = parts_.clock.Now()](RequestResult result) {
    parts_.telemetry.EndRequest(*request, result, parts_.clock.Now() - arrived);
    if (!result.response.headers.Find(protocol::kHost)) {
      result.response.headers.Add(protocol::kHost, parts_.host.Value());
    }
    responder->Send(std::move(result.response));
  };
}

void ServiceRequestHandler::Fail(const Passage& passage,
                                 ProblemCode code,
                                 RunState run_state) {
  passage.done({.run_state = run_state,
                .response = MakeProblem(code, run_state,
                                        code == ProblemCode::kClaimUnsettled
                                            ? kClaimRetryAfter
                                            : Duration::zero())});
}

HttpResponse ServiceRequestHandler::RefuseStopping(
    const HttpRequest& request) const {
  return MakeProblem(ProblemCode::kStopping,
                     parts_.keys.OutcomeIfRefused(
                         request.headers.Find(protocol::kIdempotencyKey)),
                     kStoppingRetryAfter);
}

HttpResponse ServiceRequestHandler::IssueKeys(const HttpRequest& request) {
  const SharedRoutingTable routes = parts_.engine.Routes();
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
    keys.push_back(parts_.keys.Issue(ModeOf(*service)));
  }
  HttpResponse response{.status = 201};
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add(protocol::kHost, parts_.host.Value());
  response.body = nlohmann::json{{"idempotency_keys", keys}}.dump() + "\n";
  return response;
}

}  // namespace medlarcroft::adapters
