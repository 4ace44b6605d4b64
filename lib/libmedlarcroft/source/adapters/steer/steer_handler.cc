#include "adapters/steer/steer_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "adapters/http/json_response.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::string_view kLookupPath = "/v1/lookup";

constexpr std::size_t kSmallBodyBytes = 4096;

/// Operators' calls wait for the platform; more than a few in the queue would
/// wait longer than anybody watches.
constexpr std::size_t kMaxOperatorCalls = 32;

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

/// Keys are run by their issuer, so a caller that got keys of this host does
/// best to begin with it.
void PutFirst(const HostName& self, steering::LookupAnswer& answer) {
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
    const MonotonicTime start = parts_.clock.Now();
    HttpResponse answer = Lookup(request);
    parts_.telemetry.RecordLookup(parts_.clock.Now() - start);
    return answer;
  }
  if (OperatorRoutes::IsMatch(request.path)) {
    return StartOperatorCall(std::move(request), responder);
  }
  if (auto page = parts_.pages.Find(request)) {
    return page;
  }
  return MakeLookupProblem(404, "unknown-path");
}

HttpResponse SteerHandler::Lookup(const HttpRequest& request) {
  const auto service = request.FindQuery("service");
  const auto brand = request.FindQuery("brand");
  if (request.method != "GET" || !service || !brand) {
    parts_.telemetry.CountMalformedLookup();
    return MakeLookupProblem(400, "bad-look-up");
  }
  const auto named_client = request.FindQuery("client");
  const auto client =
      ParseClientAddress(named_client.value_or(request.peer_address));
  // An answer for some other place would look like one for this client.
  if (named_client && !client) {
    parts_.telemetry.CountMalformedLookup();
    return MakeLookupProblem(400, "bad-client-address");
  }
  auto result = parts_.core.Lookup({.service = ServiceName(*service),
                                    .brand = BrandName(*brand),
                                    .client = client});
  if (!IsOk(result)) {
    const steering::LookupError error = ErrorOf(result);
    parts_.telemetry.CountLookup(error);
    return MakeLookupProblem(StatusOf(error), steering::ToString(error));
  }

  steering::LookupAnswer answer = TakeValue(std::move(result));
  parts_.telemetry.CountLookup(ServiceName(*service), answer.rule);
  const catalogue::SharedCatalogueView catalogue = parts_.core.Catalogue();
  const auto* entry = catalogue->FindService(ServiceName(*service));
  const bool is_keyed =
      entry != nullptr && !entry->request_class.IsIdempotent();
  if (is_keyed) {
    PutFirst(parts_.core.Self().host, answer);
  }

  nlohmann::ordered_json body = {{"revision", answer.revision},
                                 {"ttl_ms", ToMilliseconds(answer.ttl)},
                                 {"rule", steering::ToString(answer.rule)}};
  body["entry_hosts"] = nlohmann::ordered_json::array();
  for (const steering::LookupHost& host : answer.entry_hosts) {
    body["entry_hosts"].push_back(ToJson(host));
  }
  if (is_keyed) {
    // A key is run by its issuer. While this host is not the first choice, its
    // keys would send each order over one more host; the caller asks the host
    // that it chooses instead.
    const bool is_issuer_first =
        !answer.entry_hosts.empty() &&
        answer.entry_hosts.front().host == parts_.core.Self().host &&
        parts_.core.Self().phase == membership::HostPhase::kReady;
    body["idempotency_keys"] =
        is_issuer_first ? parts_.keys.Take(entry->request_class.key_mode)
                        : std::vector<std::string>();
  }
  return MakeJsonResponse(200, body, JsonLayout::kCompact);
}

std::optional<HttpResponse> SteerHandler::StartOperatorCall(
    HttpRequest request,
    const std::shared_ptr<Responder>& responder) {
  const auto shared = std::make_shared<HttpRequest>(std::move(request));
  const bool is_queued = parts_.worker.Post(
      [this, shared, responder] {
        auto answer = parts_.operators.Handle(*shared);
        responder->Send(answer ? *std::move(answer)
                               : MakeLookupProblem(404, "unknown-path"));
      },
      kMaxOperatorCalls);
  if (!is_queued) {
    return MakeLookupProblem(503, "too-many-operator-calls");
  }
  return std::nullopt;
}

std::size_t SteerHandler::MaxBodyBytes(const HttpRequest& request) const {
  return OperatorRoutes::IsMatch(request.path) ? OperatorRoutes::MaxBodyBytes()
                                               : kSmallBodyBytes;
}

}  // namespace medlarcroft::adapters
