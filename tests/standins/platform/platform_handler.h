#ifndef MEDLARCROFT_TESTS_STANDINS_PLATFORM_PLATFORM_HANDLER_H_
#define MEDLARCROFT_TESTS_STANDINS_PLATFORM_PLATFORM_HANDLER_H_

#include <atomic>
#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "adapters/http/http_server.h"
#include "adapters/platform/platform_json.h"
#include "standins/platform/delay_queue.h"
#include "standins/platform/fault_switch.h"
#include "standins/platform/memory_platform.h"

namespace medlarcroft::standins {

/// @brief Serves `MemoryPlatform` over the platform's HTTP interface and
/// injects faults.
class PlatformHandler final : public adapters::HttpHandler {
 public:
  std::optional<adapters::HttpResponse> Handle(
      adapters::HttpRequest request,
      const std::shared_ptr<adapters::Responder>& responder) override {
    if (request.path.starts_with("/control/")) {
      return HandleControl(request);
    }
    const Faults faults = faults_.Get();
    if (faults.is_down) {
      return Error(503, adapters::kNotDoneCode);
    }
    if (faults.delay.count() == 0) {
      return HandleData(request);
    }
    // The effect is delayed like the response: a write may take effect long
    // after its sender has timed out.
    delays_.RunAfter(faults.delay, [this, request, responder] {
      responder->Send(HandleData(request));
    });
    return std::nullopt;
  }

  [[nodiscard]] std::size_t MaxBodyBytes(
      const adapters::HttpRequest&) const override {
    return std::size_t{16} * 1024 * 1024;
  }

  MemoryPlatform& Platform() { return platform_; }
  FaultSwitch& ActiveFaults() { return faults_; }

 private:
  using Request = adapters::HttpRequest;
  using Response = adapters::HttpResponse;

  /// @brief A route: method, path (a prefix when it ends in '/') and handler.
  struct Route {
    std::string_view method;
    std::string_view path;
    Response (PlatformHandler::*handle)(const Request& request);
  };

  static bool IsMatch(const Route& route, const Request& request) {
    return request.method == route.method &&
           (route.path.ends_with('/') ? request.path.starts_with(route.path)
                                      : request.path == route.path);
  }

  Response HandleData(const Request& request) {
    static constexpr Route kRoutes[] = {
        {"GET", "/table/", &PlatformHandler::ReadRow},
        {"GET", "/table", &PlatformHandler::ScanRows},
        {"POST", "/table/commit", &PlatformHandler::Commit},
        {"GET", "/objects/", &PlatformHandler::GetObject},
        {"PUT", "/objects/", &PlatformHandler::PutObject},
        {"GET", "/hosts", &PlatformHandler::ListHosts},
        {"PUT", "/hosts", &PlatformHandler::ReplaceHosts},
    };
    for (const Route& route : kRoutes) {
      if (IsMatch(route, request)) {
        return (this->*route.handle)(request);
      }
    }
    return Error(404, "no-such-route");
  }

  Response HandleControl(const Request& request) {
    if (request.method == "GET" && request.path == "/control/stats") {
      return Json(R"({"reads":)" + std::to_string(reads_) + R"(,"writes":)" +
                  std::to_string(writes_) + "}");
    }
    if (request.method != "PUT" || request.path != "/control/faults") {
      return Error(404, "no-such-route");
    }
    const auto faults = ParseFaults(request.body);
    if (!faults) {
      return Error(400, "bad-body");
    }
    faults_.Set(*faults);
    platform_.SetHostListStale(faults->has_stale_host_list);
    return Json("{}");
  }

  Response ReadRow(const Request& request) {
    ++reads_;
    return Json(
        adapters::FormatRow(platform_.Read(PathAfter(request, "/table/"))));
  }

  Response ScanRows(const Request& request) {
    ++reads_;
    const std::string_view limit_text =
        request.FindQuery("limit").value_or("100");
    std::size_t limit = 0;
    std::from_chars(limit_text.data(), limit_text.data() + limit_text.size(),
                    limit);
    const std::string first(request.FindQuery("first").value_or(""));
    const std::string last(request.FindQuery("last").value_or(""));
    return Json(adapters::FormatRows(platform_.Scan(first, last, limit)));
  }

  Response Commit(const Request& request) {
    ++writes_;
    const auto transaction = adapters::ParseTransaction(request.body);
    if (!transaction) {
      return Error(400, adapters::kNotDoneCode);
    }
    const auto outcome = platform_.Commit(*transaction);
    return ResponseUnlessDropped(Json(adapters::FormatOutcome(outcome)));
  }

  Response GetObject(const Request& request) {
    ++reads_;
    auto bytes = platform_.GetObject(PathAfter(request, "/objects/"));
    return bytes ? Response{.status = 200, .body = *std::move(bytes)}
                 : Error(404, "no-such-object");
  }

  Response PutObject(const Request& request) {
    ++writes_;
    platform_.PutObject(PathAfter(request, "/objects/"), request.body);
    return ResponseUnlessDropped(Response{.status = 204});
  }

  Response ListHosts(const Request&) {
    ++reads_;
    return Json(adapters::FormatHosts(platform_.Hosts()));
  }

  Response ReplaceHosts(const Request& request) {
    auto hosts = adapters::ParseHosts(request.body);
    if (!hosts) {
      return Error(400, adapters::kNotDoneCode);
    }
    platform_.SetHosts(*std::move(hosts));
    return Response{.status = 204};
  }

  /// @brief Reports a dropped response as an immediate gateway timeout (504),
  /// so that tests need not wait for their own timeout.
  Response ResponseUnlessDropped(Response response) {
    return faults_.ConsumeDroppedResponse() ? Error(504, "answer-lost")
                                            : std::move(response);
  }

  static std::string PathAfter(const Request& request,
                               std::string_view prefix) {
    return request.path.substr(prefix.size());
  }

  static Response Json(std::optional<std::string> body) {
    if (!body) {
      return Error(500, "not-utf-8");
    }
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = *std::move(body)};
  }

  static Response Error(int status, std::string_view code) {
    return {.status = status,
            .headers = {{"Content-Type", "application/problem+json"}},
            .body = R"({"code":")" + std::string(code) + R"("})"};
  }

  MemoryPlatform platform_;
  FaultSwitch faults_;
  std::atomic<std::uint64_t> reads_{0};
  std::atomic<std::uint64_t> writes_{0};
  DelayQueue delays_;
};

}  // namespace medlarcroft::standins

#endif  // MEDLARCROFT_TESTS_STANDINS_PLATFORM_PLATFORM_HANDLER_H_
