#ifndef MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_HANDLER_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_HANDLER_H_

#include <atomic>
#include <memory>
#include <optional>

#include "adapters/entry/request_engine.h"
#include "adapters/entry/service_request_handler.h"
#include "adapters/http/http_server.h"

namespace medlarcroft::adapters {

/// @brief Serves an entry host's listener: services, keys, health, metrics.
class EntryHandler final : public HttpHandler {
 public:
  /// @brief Gives the pages that are not part of the request path.
  class Pages {
   public:
    virtual ~Pages() = default;
    /// @return the page at `path`, or nullopt when there is none.
    virtual std::optional<HttpResponse> Find(const HttpRequest& request) = 0;
  };

  EntryHandler(ServiceRequestHandler& path,
               const RequestEngine& engine,
               Pages& pages)
      : path_(path), engine_(engine), pages_(pages) {}

  std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) override;

  [[nodiscard]] std::size_t MaxBodyBytes(
      const HttpRequest& request) const override;

  /// @brief From now on new requests are refused as not run.
  void StopAdmitting() { is_stopping_ = true; }

 private:
  ServiceRequestHandler& path_;
  const RequestEngine& engine_;
  Pages& pages_;
  std::atomic<bool> is_stopping_{false};
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_ENTRY_HANDLER_H_
