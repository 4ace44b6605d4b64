#include "adapters/entry/entry_handler.h"

#include <utility>

#include "adapters/entry/protocol.h"

namespace medlarcroft::adapters {

namespace {

/// Limit for requests that name no service: issuing keys and the operator
/// endpoints need no body.
constexpr std::size_t kDefaultMaxBodyBytes = 4096;

}  // namespace

std::optional<HttpResponse> EntryHandler::Handle(
    HttpRequest request,
    const std::shared_ptr<Responder>& responder) {
  const bool is_key_request =
      request.path == protocol::kKeysPath && request.method == "POST";
  const bool is_service_request =
      request.raw_target.starts_with(protocol::kServicesPrefix);
  if (is_stopping_ && (is_key_request || is_service_request)) {
    return service_handler_.RefuseWhileStopping(request);
  }
  if (is_service_request) {
    return service_handler_.Serve(std::move(request), responder);
  }
  if (is_key_request) {
    return service_handler_.IssueKeys(request);
  }
  if (auto page = endpoints_.Find(request)) {
    return page;
  }
  return MakeProblem(ProblemCode::kUnknownPath, decision::RunState::kNotRun);
}

std::size_t EntryHandler::MaxBodyBytes(const HttpRequest& request) const {
  const auto service = ExtractServiceName(request.raw_target);
  const SharedRoutingTable routes = engine_.Routes();
  if (!service || !routes) {
    return kDefaultMaxBodyBytes;
  }
  const ServiceRoute* route = routes->Find(ServiceName(*service));
  return route == nullptr ? kDefaultMaxBodyBytes
                          : route->config.request_class.max_request_bytes;
}

}  // namespace medlarcroft::adapters
