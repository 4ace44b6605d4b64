#ifndef MEDLARCROFT_ADAPTERS_STEER_STEER_HANDLER_H_
#define MEDLARCROFT_ADAPTERS_STEER_STEER_HANDLER_H_

#include <memory>
#include <optional>

#include "adapters/http/http_server.h"
#include "adapters/http/operator_routes.h"
#include "adapters/process/worker_thread.h"
#include "adapters/steer/key_pool.h"
#include "adapters/steer/steer_core.h"
#include "adapters/steer/steer_pages.h"
#include "adapters/steer/steer_telemetry.h"
#include "medlarcroft/ports/clock.h"

namespace medlarcroft::adapters {

/// @brief Handles steerd's HTTP requests: look-ups, status pages, and the
/// operators' catalogue calls. The latter block on the platform and therefore
/// run on a worker thread.
class SteerHandler final : public HttpHandler {
 public:
  struct Dependencies {
    SteerCore& core;
    KeyPool& keys;
    OperatorRoutes& operators;
    WorkerThread& worker;
    SteerPages& pages;
    SteerTelemetry& telemetry;
    const ports::Clock& clock;
  };

  explicit SteerHandler(const Dependencies& dependencies)
      : dependencies_(dependencies) {}

  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) override;

  [[nodiscard]] std::size_t MaxBodyBytes(
      const HttpRequest& request) const override;

 private:
  [[nodiscard]] HttpResponse Lookup(const HttpRequest& request);
  [[nodiscard]] std::optional<HttpResponse> StartOperatorCall(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder);

  const Dependencies dependencies_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_STEER_STEER_HANDLER_H_
