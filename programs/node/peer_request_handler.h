#ifndef MEDLARCROFT_PROGRAMS_NODE_PEER_REQUEST_HANDLER_H_
#define MEDLARCROFT_PROGRAMS_NODE_PEER_REQUEST_HANDLER_H_

#include <memory>
#include <utility>

#include "adapters/event/http_listener.h"
#include "adapters/forward/relay_protocol.h"

namespace medlarcroft::node {

/// @brief Passes other hosts' requests on by their path.
class PeerRequestHandler final : public adapters::HttpRequestHandler {
 public:
  PeerRequestHandler(adapters::HttpRequestHandler& rows,
                     adapters::HttpRequestHandler& relays)
      : rows_(rows), relays_(relays) {}

  [[nodiscard]] bool NeedsBody(const adapters::HttpRequest& head) override {
    return head.raw_target == adapters::kRelayPath && relays_.NeedsBody(head);
  }

  void OnGaveWay(
      const adapters::HttpRequest& head,
      const std::shared_ptr<adapters::HttpExchange>& exchange) override {
    const bool is_relay = head.raw_target == adapters::kRelayPath;
    (is_relay ? relays_ : rows_).OnGaveWay(head, exchange);
  }

  void OnRequest(
      adapters::HttpRequest request,
      const std::shared_ptr<adapters::HttpExchange>& exchange) override {
    const bool is_relay = request.raw_target == adapters::kRelayPath;
    (is_relay ? relays_ : rows_).OnRequest(std::move(request), exchange);
  }

 private:
  adapters::HttpRequestHandler& rows_;
  adapters::HttpRequestHandler& relays_;
};

}  // namespace medlarcroft::node

#endif  // MEDLARCROFT_PROGRAMS_NODE_PEER_REQUEST_HANDLER_H_
