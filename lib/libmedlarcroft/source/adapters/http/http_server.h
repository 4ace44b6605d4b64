#ifndef MEDLARCROFT_ADAPTERS_HTTP_HTTP_SERVER_H_
#define MEDLARCROFT_ADAPTERS_HTTP_HTTP_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <stop_token>
#include <string>
#include <thread>

#include "adapters/http/http_message.h"
#include "adapters/process/client_bounds.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

struct MHD_Daemon;

namespace medlarcroft::adapters {

/// @brief Sends the response to one request. Any thread may use it; only the
/// first response counts, so a late one can never reach another request.
class Responder {
 public:
  virtual ~Responder() = default;

  virtual void Send(HttpResponse response) = 0;

  /// @return whether the client has closed its connection.
  [[nodiscard]] virtual bool IsClientDisconnected() const = 0;
};

/// @brief Handles the requests of one listener.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// @brief Runs on a listener thread and must not block.
  /// @return the response, or nullopt when it will be sent through `responder`
  /// later.
  virtual std::optional<HttpResponse> Handle(
      HttpRequest request,
      const std::shared_ptr<Responder>& responder) = 0;

  /// @return the largest body accepted for a request with these headers, bytes.
  [[nodiscard]] virtual std::size_t MaxBodyBytes(
      const HttpRequest& request) const {
    (void)request;
    return std::size_t{64} * 1024;
  }
};

/// @brief Counters of accepted and rejected requests of a listener.
struct HttpServerCounters {
  std::atomic<std::uint64_t> connections{0};  ///< Accepted; the last one's id.
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> bodies_too_large{0};
  std::atomic<std::uint64_t> client_errors{0};  ///< Responses of 400 to 499.
  std::atomic<std::uint64_t> in_flight{0};
};

/// @brief Why a listener could not be opened.
enum class ListenFailure { kBadAddress, kCannotBind, kBadTlsMaterial };

/// @brief HTTP/1.1 server on libmicrohttpd with one epoll loop per thread;
/// pending requests occupy no thread.
class HttpServer {
 public:
  struct Options {
    std::string address;  ///< IP:port; port 0 picks a free one.
    unsigned threads = 2;
    /// Bounds memory: each connection has a buffer of at most 32 KB. Beyond it
    /// those that have brought least are closed.
    unsigned max_connections = 4096;
    /// Closes stalled connections, those excepted of which something waits to
    /// be read; longer than the deadline of any request class.
    std::chrono::seconds idle_timeout{60};
    /// Bounds what requests' bodies take; unset: nothing does, but for the
    /// bound of each.
    std::shared_ptr<ClientMemory> memory;
    std::string tls_certificate_pem;  ///< Empty: plain HTTP.
    std::string tls_key_pem;
  };

  static Result<std::unique_ptr<HttpServer>, ListenFailure> Start(
      const Options& options,
      HttpHandler& handler);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] std::uint16_t Port() const { return port_; }
  [[nodiscard]] const HttpServerCounters& Counters() const { return counters_; }

  /// @brief From now on every response carries `Connection: close`, so that
  /// clients leave their connections without a request being interrupted.
  void StartDraining() { is_draining_ = true; }

  /// @brief Closes the listener and its connections. Pending requests are first
  /// answered with 503.
  void Stop();

 private:
  friend class RequestContext;
  friend struct ServerCallbacks;

  HttpServer(const Options& options, HttpHandler& handler);
  void AnswerPendingRequests();
  void RefuseArrivedRequests();
  void CheckIdleUntil(const std::stop_token& stop, Duration idle_timeout);

  HttpHandler& handler_;
  MHD_Daemon* daemon_ = nullptr;
  std::uint16_t port_ = 0;
  std::string tls_certificate_;
  std::string tls_key_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_stopping_{false};
  HttpServerCounters counters_;
  const std::shared_ptr<ClientMemory> memory_;
  ListenerConnections connections_;
  std::unique_ptr<class PendingRequests> pending_requests_;
  std::jthread idle_checks_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_HTTP_SERVER_H_
