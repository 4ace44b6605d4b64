#include "adapters/steer/steer_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/http/json_response.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::string_view kLookupPath = "/v1/lookup";

/// Limit for requests other than operators' calls, whose limit is larger.
constexpr std::size_t kMaxBodyBytes = 4096;

/// Operators' calls are processed one at a time and wait for the platform.
/// Callers at the end of a longer queue would have given up before their turn.
constexpr std::size_t kMaxQueuedOperatorCalls = 32;

HttpResponse MakeLookupProblem(int status, std::string_view code) {
  HttpResponse response = MakeJsonResponse(
      status, {{"type", "about:blank"}, {"code", code}, {"status", status}});
  response.headers.Set("Content-Type", "application/problem+json");
  if (status == 503) {
    response.headers.Add("Retry-After", "1");
  }
  return response;
}

int StatusOf(steering::LookupError error) {
  return error == steering::LookupError::kNoEntryHost ? 503 : 404;
}

nlohmann::ordered_json ToJson(const steering::LookupHost& host) {
  return {{"host", host.host.Value()},
          {"address", host.address},
          {"failure_domain", host.failure_domain.Value()},
          {"weight", host.weight}};
}

/// Requests with an idempotency key are executed by the host that issued the
/// key, so a caller that received keys of this host should try this host first.
void MoveToFront(const HostName& self, steering::LookupAnswer& answer) {
  auto& hosts = answer.entry_hosts;
  const auto own =
      std::ranges::find_if(hosts, [&self](const steering::LookupHost& host) {
        return host.host == self && host.weight > 0;
      });
  if (own != hosts.end()) {
    std::rotate(hosts.begin(), own, own + 1);
  }
}

}  // namespace

std::optional<HttpResponse> SteerHandler::Handle(
    HttpRequest request,
    const std::shared_ptr<Responder>& responder) {
  if (request.path == kLookupPath) {
    const MonotonicTime start = dependencies_.clock.Now();
    HttpResponse answer = Lookup(request);
    dependencies_.telemetry.RecordLookup(dependencies_.clock.Now() - start);
    return answer;
  }
  if (OperatorRoutes::IsMatch(request.path)) {
    return StartOperatorCall(std::move(request), responder);
  }
  if (auto page = dependencies_.pages.Find(request)) {
    return page;
  }
  return MakeLookupProblem(404, "unknown-path");
}

HttpResponse SteerHandler::Lookup(const HttpRequest& request) {
  const auto service = request.FindQuery("service");
  const auto brand = request.FindQuery("brand");
  if (request.method != "GET" || !service || !brand) {
    dependencies_.telemetry.CountMalformedLookup();
    return MakeLookupProblem(400, "bad-look-up");
  }
  const auto client_parameter = request.FindQuery("client");
  const auto client =
      ParseClientAddress(client_parameter.value_or(request.peer_address));
  // Falling back to the peer's address would return an answer for another
  // location that looks like one for the named client.
  if (client_parameter && !client) {
    dependencies_.telemetry.CountMalformedLookup();
    return MakeLookupProblem(400, "bad-client-address");
  }
  auto result = dependencies_.core.Lookup({.service = ServiceName(*service),
                                           .brand = BrandName(*brand),
                                           .client = client});
  if (!IsOk(result)) {
    const steering::LookupError error = ErrorOf(result);
    dependencies_.telemetry.CountLookup(error);
    return MakeLookupProblem(StatusOf(error), steering::ToString(error));
  }

  steering::LookupAnswer answer = TakeValue(std::move(result));
  dependencies_.telemetry.CountLookup(ServiceName(*service), answer.rule);
  const catalogue::SharedCatalogueView catalogue =
      dependencies_.core.Catalogue();
  const auto* entry = catalogue->FindService(ServiceName(*service));
  const bool is_keyed =
      entry != nullptr && !entry->request_class.IsIdempotent();
  if (is_keyed) {
    MoveToFront(dependencies_.core.Self().host, answer);
  }

  nlohmann::ordered_json body = {{"revision", answer.revision},
                                 {"ttl_ms", ToMilliseconds(answer.ttl)},
                                 {"rule", steering::ToString(answer.rule)}};
  body["entry_hosts"] = nlohmann::ordered_json::array();
  for (const steering::LookupHost& host : answer.entry_hosts) {
    body["entry_hosts"].push_back(ToJson(host));
  }
  if (is_keyed) {
    // Requests with a key are executed by the issuer of the key. While this
    // host is not the first choice, its keys would add a hop to each request;
    // without keys, the caller requests them from the host that it chooses.
    const bool is_issuer_first =
        !answer.entry_hosts.empty() &&
        answer.entry_hosts.front().host == dependencies_.core.Self().host &&
        dependencies_.core.Self().phase == membership::HostPhase::kReady;
    body["idempotency_keys"] =
        is_issuer_first ? dependencies_.keys.Take(entry->request_class.key_mode)
                        : std::vector<std::string>();
  }
  return MakeJsonResponse(200, body, JsonLayout::kCompact);
}

std::optional<HttpResponse> SteerHandler::StartOperatorCall(
    HttpRequest request,
    const std::shared_ptr<Responder>& responder) {
  const auto shared = std::make_shared<HttpRequest>(std::move(request));
  const bool is_queued = dependencies_.worker.Post(
      [this, shared, responder] {
        auto answer = dependencies_.operators.Handle(*shared);
        responder->Send(answer ? *std::move(answer)
                               : MakeLookupProblem(404, "unknown-path"));
      },
      kMaxQueuedOperatorCalls);
  if (!is_queued) {
    return MakeLookupProblem(503, "too-many-operator-calls");
  }
  return std::nullopt;
}

std::size_t SteerHandler::MaxBodyBytes(const HttpRequest& request) const {
  return OperatorRoutes::IsMatch(request.path) ? OperatorRoutes::MaxBodyBytes()
                                               : kMaxBodyBytes;
}

}  // namespace medlarcroft::adapters
