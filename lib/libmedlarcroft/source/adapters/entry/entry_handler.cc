#include "adapters/entry/entry_handler.h"

#include <utility>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

/// For requests that name no service: keys and pages need no body.
constexpr std::size_t kSmallBodyBytes = 4096;

}  // namespace

std::optional<HttpResponse> EntryHandler::Handle(
    HttpRequest request,
    const std::shared_ptr<Responder>& responder) {
  const bool is_key_request =
      request.path == protocol::kKeysPath && request.method == "POST";
  const bool is_service_request =
      request.raw_target.starts_with(protocol::kServicesPrefix);
  if (is_stopping_ && (is_key_request || is_service_request)) {
    return path_.RefuseStopping(request);
  }
  if (is_service_request) {
    return path_.Serve(std::move(request), responder);
  }
  if (is_key_request) {
    return path_.IssueKeys(request);
  }
  if (auto page = pages_.Find(request)) {
    return page;
  }
  return MakeProblem(ProblemCode::kUnknownPath, decision::RunState::kNotRun);
}

std::size_t EntryHandler::MaxBodyBytes(const HttpRequest& request) const {
  const auto service = ExtractServiceName(request.raw_target);
  const SharedRoutingTable routes = engine_.Routes();
  if (!service || !routes) {
    return kSmallBodyBytes;
  }
  const ServiceRoute* route = routes->Find(ServiceName(*service));
  return route == nullptr ? kSmallBodyBytes
                          : route->config.request_class.max_request_bytes;
}

}  // namespace medlarcroft::adapters
