#ifndef MEDLARCROFT_ADAPTERS_EVENT_HTTP_LISTENER_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "adapters/event/event_loop.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief What a caller's connection may use.
struct HttpLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// For a request's head, from its first byte.
  Duration header_timeout = std::chrono::seconds(3);
  /// For a connection that carries no request.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief One request that waits for its answer.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Only the first answer counts; none is sent once the caller is gone.
  virtual void Respond(HttpResponse response) = 0;
  /// @brief Runs `task` when the caller closes its connection before the
  /// answer.
  virtual void OnCallerGone(std::function<void()> task) = 0;
};

/// @brief Takes the requests of a listener.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;

  /// `request.path` and `request.query` are left empty: `raw_target` holds
  /// what the caller sent, unchanged.
  virtual void OnRequest(HttpRequest request,
                         const std::shared_ptr<HttpExchange>& exchange) = 0;
};

/// @brief What a listener has seen.
struct HttpListenerCounters {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t left_early = 0;  ///< Callers gone before their answer.
};

class HttpServerConnection;

/// @brief An HTTP/1.1 listener on an event loop, parsed by Boost.Beast.
///
/// It stands beside the one on libmicrohttpd for two needs which that does not
/// meet: a caller that leaves while its request waits is heard of at once, and
/// the request target reaches the handler unchanged.
class HttpListener final : public DescriptorHandler {
 public:
  enum class Failure { kBadAddress, kCannotBind };

  static Result<std::unique_ptr<HttpListener>, Failure> Open(
      EventLoop& loop,
      const std::string& address,
      HttpRequestHandler& handler);
  ~HttpListener() override;

  /// @brief In force for what begins from now on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }
  /// @brief From now on each answer asks its caller to close the connection.
  void StartDraining() { is_draining_ = true; }
  /// @brief Takes no more connections; those open are served on.
  void StopAccepting();

  [[nodiscard]] const HttpListenerCounters& Counters() const {
    return counters_;
  }
  [[nodiscard]] std::size_t OpenConnections() const {
    return connections_.size();
  }
  [[nodiscard]] std::uint16_t Port() const { return port_; }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  friend class HttpServerConnection;

  HttpListener(EventLoop& loop, int descriptor, HttpRequestHandler& handler);

  EventLoop& loop_;
  HttpRequestHandler& handler_;
  int descriptor_;
  std::uint16_t port_ = 0;
  HttpLimits limits_;
  bool is_draining_ = false;
  HttpListenerCounters counters_;
  std::unordered_set<std::shared_ptr<HttpServerConnection>> connections_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_LISTENER_H_
