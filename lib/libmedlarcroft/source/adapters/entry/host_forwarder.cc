#include "adapters/entry/host_forwarder.h"

#include <algorithm>
#include <array>
#include <utility>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

using decision::RunState;

const std::string kNoKey;

forwarding::ForwardedRequest AuthenticatedFields(
    const ServiceRequest& request) {
  return {.method = request.method,
          .path = request.target_path,
          .idempotency_key = request.key_text ? *request.key_text : kNoKey};
}

RequestResult ToResult(ClientResult result) {
  if (!IsOk(result)) {
    const TransportError& error = ErrorOf(result);
    const RunState run_state =
        error.is_proved_unsent ? RunState::kNotRun : RunState::kUnknown;
    return {.run_state = run_state,
            .response = MakeProblem(ProblemCode::kAnswerLost, run_state)};
  }

  ClientResponse answer = TakeValue(std::move(result));
  RequestResult forwarded;
  forwarded.run_state =
      ParseRunState(answer.headers.Find(protocol::kOutcome).value_or(""));
  // The first time that it was sent, the request may have run.
  if (answer.was_resent && forwarded.run_state == RunState::kNotRun) {
    return {
        .run_state = RunState::kUnknown,
        .response = MakeProblem(ProblemCode::kAnswerLost, RunState::kUnknown)};
  }
  forwarded.response.status = answer.status;
  forwarded.response.headers = ForwardedHeaders(
      answer.headers,
      std::array{protocol::kOutcome, protocol::kTarget, protocol::kHost});
  forwarded.response.body = std::move(answer.body);
  forwarded.is_target_answer = forwarded.run_state == RunState::kRan;
  return forwarded;
}

}  // namespace

HostForwarder::HostForwarder(HostName self,
                             HttpClient& client,
                             const IdempotencyGuard& keys,
                             const ports::Clock& clock)
    : self_(std::move(self)),
      client_(client),
      keys_(keys),
      clock_(clock),
      replay_guard_(clock) {}

void HostForwarder::Send(const ForwardRequest& forward, ResultCallback done) {
  client_.Send(MakeRequest(forward),
               [done = std::move(done)](ClientResult result) {
                 done(ToResult(std::move(result)));
               });
}

ClientRequest HostForwarder::MakeRequest(const ForwardRequest& forward) const {
  const ServiceRequest& request = forward.request;
  const forwarding::ForwardClaim claim{
      .sender = self_, .kind = forward.kind, .sent_at = clock_.WallNow()};

  ClientRequest out;
  out.method = request.method;
  out.url = "http://" + forward.address +
            std::string(protocol::kServicesPrefix) + request.service.Value() +
            request.target_path;
  out.headers = request.headers;
  out.headers.Set(protocol::kBrand, request.brand.Value());
  out.headers.Set(protocol::kDeadline,
                  std::to_string(std::max<std::int64_t>(
                      1, ToMilliseconds(forward.time_left))));
  out.headers.Set(protocol::kForwardedBy,
                  forwarding::FormatForwardClaim(claim));
  out.headers.Set(protocol::kForwardProof,
                  forwarding::SignForward(claim, AuthenticatedFields(request),
                                          keys_.IssuingSecret()));
  if (request.span) {
    out.headers.Set(protocol::kTraceParent,
                    telemetry::FormatTraceparent(request.span->Context()));
  }
  out.body = request.body;
  out.timeout = forward.time_left;
  out.needs_fresh_connection = !forward.is_idempotent;
  out.max_answer_bytes = forward.max_answer_bytes;
  return out;
}

std::optional<forwarding::ForwardClaim> HostForwarder::Verify(
    const ServiceRequest& request) const {
  auto claim = forwarding::ParseForwardClaim(*request.forwarded_by);
  if (!claim) {
    return std::nullopt;
  }
  for (const std::string& secret : keys_.AcceptedSecrets()) {
    if (forwarding::IsForwardProofValid(*claim, AuthenticatedFields(request),
                                        request.forward_proof, secret,
                                        clock_.WallNow())) {
      return claim;
    }
  }
  return std::nullopt;
}

bool HostForwarder::AdmitOnce(const ServiceRequest& request) {
  const std::lock_guard lock(mutex_);
  return replay_guard_.Admit(request.forward_proof);
}

}  // namespace medlarcroft::adapters
