#ifndef MEDLARCROFT_TESTS_UNIT_ADAPTERS_CONSOLE_FAKE_STEERD_H_
#define MEDLARCROFT_TESTS_UNIT_ADAPTERS_CONSOLE_FAKE_STEERD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "adapters/http/http_server.h"
#include "adapters/http/operator_routes.h"
#include "fakes/catalogue_platform.h"

namespace medlarcroft::adapters {

/// @brief The operator API of a steerd, backed by an in-memory platform.
class FakeSteerd final : public HttpHandler {
 public:
  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) override {
    const std::lock_guard lock(mutex_);
    if (is_unresponsive) {
      pending_responders_.push_back(responder);
      return std::nullopt;
    }
    if (request.path == "/v1/status") {
      ++status_requests;
      return HttpResponse{.status = 200, .body = make_status().dump()};
    }
    if (request.path == "/v1/explain") {
      return HttpResponse{.status = 200,
                          .body = R"({"rule":"nearest","hosts":["h1","h2"]})"};
    }
    return routes_.Handle(request).value_or(HttpResponse{.status = 404});
  }

  std::uint64_t Revision() {
    return ValueOf(catalogue::CatalogueReader(platform.table, platform.objects)
                       .ReadHead())
        .revision;
  }

  fakes::CataloguePlatform platform;
  bool is_unresponsive = false;
  int status_requests = 0;
  std::function<nlohmann::json()> make_status = [] {
    return nlohmann::json::object();
  };

 private:
  std::mutex mutex_;
  std::vector<std::shared_ptr<Responder>> pending_responders_;
  catalogue::CatalogueStore store_ = platform.MakeStore();
  catalogue::CatalogueReplica replica_{{}, platform.clock};
  catalogue::OperatorApi api_{{.store = store_,
                               .replica = replica_,
                               .make_change_id = [] { return "server"; }}};
  OperatorRoutes routes_{
      {.tokens = {{.token = "secret", .owner = OwnerName("ops")},
                  {.token = "other", .owner = OwnerName("else")}}},
      api_};
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_TESTS_UNIT_ADAPTERS_CONSOLE_FAKE_STEERD_H_
