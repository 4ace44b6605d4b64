#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_HANDLER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_HANDLER_H_

#include <atomic>
#include <memory>
#include <optional>

#include "adapters/entry/request_engine.h"
#include "adapters/entry/service_request_handler.h"
#include "adapters/http/http_server.h"

namespace medlarcroft::adapters {

/// @brief Serves the HTTP listener of an entry host: services, idempotency
/// keys, health and metrics.
class EntryHandler final : public HttpHandler {
 public:
  /// @brief Provides the endpoints that are not part of request processing.
  class OperatorEndpoints {
   public:
    virtual ~OperatorEndpoints() = default;
    /// @return the response of the endpoint that `request` names, or nullopt if
    /// there is none.
    virtual std::optional<HttpResponse> Find(const HttpRequest& request) = 0;
  };

  EntryHandler(ServiceRequestHandler& service_handler,
               const RequestEngine& engine,
               OperatorEndpoints& endpoints)
      : service_handler_(service_handler),
        engine_(engine),
        endpoints_(endpoints) {}

  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) override;

  [[nodiscard]] std::size_t MaxBodyBytes(
      const HttpRequest& request) const override;

  /// @brief From now on, refuses new requests without running them.
  void StopAdmitting() { is_stopping_ = true; }

 private:
  ServiceRequestHandler& service_handler_;
  const RequestEngine& engine_;
  OperatorEndpoints& endpoints_;
  std::atomic<bool> is_stopping_{false};
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_HANDLER_H_
