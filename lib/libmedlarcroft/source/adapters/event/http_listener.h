#ifndef MEDLARCROFT_ADAPTERS_EVENT_HTTP_LISTENER_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HTTP_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "adapters/event/client_connections.h"
#include "adapters/event/event_loop.h"
#include "adapters/event/held_memory.h"
#include "adapters/event/log_budget.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Limits of a client's connection.
struct HttpLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// For receiving a request's head, from its first byte.
  Duration header_timeout = std::chrono::seconds(3);
  /// For a connection without a request, and for receiving a request's body.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// @brief What all clients of a process share, whatever port they use.
struct ClientResources {
  std::shared_ptr<HeldMemory> memory;
  std::shared_ptr<ClientConnections> connections;
  std::shared_ptr<LogBudget> log_budget;

  /// @param descriptors that the process may have.
  [[nodiscard]] static ClientResources Make(
      EventLoop& loop,
      const resources::MemoryLimits& limits = {},
      std::size_t descriptors = 8192);
};

/// @brief A request that awaits its response.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Only the first response counts; none is sent once the client has
  /// disconnected.
  virtual void Respond(HttpResponse response) = 0;
  /// @brief Runs `task` when the client closes its connection before the
  /// response.
  virtual void OnCallerGone(std::function<void()> task) = 0;
  /// @brief Names the request in logs, and makes a planned stop wait until its
  /// response is delivered.
  /// @param wanted_until when the caller stops waiting.
  virtual void Identify(std::string request, MonotonicTime wanted_until) = 0;
  /// @return whether the client has closed its connection, also when the event
  /// loop has not come to notice it.
  [[nodiscard]] virtual bool IsCallerGone() const = 0;
};

/// @brief Handles the requests of a listener.
class HttpRequestHandler {
 public:
  virtual ~HttpRequestHandler() = default;

  /// `request.path` and `request.query` are empty; `raw_target` holds the
  /// request target as the client sent it.
  virtual void OnRequest(HttpRequest request,
                         const std::shared_ptr<HttpExchange>& exchange) = 0;
  /// @param head of a request whose body has not arrived whole.
  /// @return whether the body matters; otherwise it is not read, and
  /// `OnRequest` gets an empty one.
  [[nodiscard]] virtual bool NeedsBody(const HttpRequest& head) {
    (void)head;
    return true;
  }
  /// @brief A request gives way before it arrived whole: it did not run.
  virtual void OnGaveWay(const HttpRequest& head,
                         const std::shared_ptr<HttpExchange>& exchange);
  /// @return how logs name the request.
  [[nodiscard]] virtual std::string RequestNameOf(const HttpRequest& head) {
    (void)head;
    return {};
  }
};

/// @brief Counters of a listener.
struct HttpListenerCounters {
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t disconnected_before_response = 0;
  /// Closed while the client was owed something.
  std::uint64_t responses_cut = 0;
  /// Closed by this process with input that was not parsed.
  std::uint64_t inputs_dropped = 0;
};

/// @brief What the clients of a listener are owed, for a planned stop.
struct OwedResponses {
  std::size_t requests = 0;   ///< Without a response.
  std::size_t responses = 0;  ///< Written, not delivered yet.
  /// Not delivered, and not waited for: the client neither reads nor has time
  /// left.
  std::size_t given_up = 0;
  /// Connections with a request, or a part of one, that was not read yet.
  std::size_t unread = 0;
  std::size_t bytes = 0;  ///< Not acknowledged, of all of these.

  [[nodiscard]] std::size_t WaitedFor() const {
    return requests + responses + unread;
  }
  OwedResponses& operator+=(const OwedResponses& other);
};

class HttpServerConnection;

/// @brief HTTP/1.1 server on an event loop; requests are parsed by Boost.Beast.
///
/// Exists beside the libmicrohttpd-based `HttpServer` for two requirements that
/// libmicrohttpd does not meet: a client that disconnects while its request is
/// pending is reported at once, and the request target reaches the handler
/// unchanged.
class HttpListener final : public DescriptorHandler {
 public:
  enum class Failure { kBadAddress, kCannotBind };

  static Result<std::unique_ptr<HttpListener>, Failure> Open(
      EventLoop& loop,
      const std::string& address,
      HttpRequestHandler& handler,
      const ClientResources& resources);
  /// @brief With resources of its own.
  static Result<std::unique_ptr<HttpListener>, Failure> Open(
      EventLoop& loop,
      const std::string& address,
      HttpRequestHandler& handler) {
    return Open(loop, address, handler, ClientResources::Make(loop));
  }
  ~HttpListener() override;

  /// @brief Applies to connections, requests and timeouts that start from now
  /// on.
  void SetLimits(const HttpLimits& limits) { limits_ = limits; }
  /// @brief From now on each response carries `Connection: close`.
  void StartDraining() { is_draining_ = true; }
  /// @brief Accepts no more connections; those open continue to be served.
  void StopAccepting();

  [[nodiscard]] const HttpListenerCounters& Counters() const {
    return counters_;
  }
  [[nodiscard]] std::size_t OpenConnections() const {
    return connections_.size();
  }
  /// @brief Asks each connection, and the kernel for each, what it owes.
  [[nodiscard]] OwedResponses MeasureOwed() const;
  [[nodiscard]] std::uint16_t Port() const { return port_; }

  void OnReadable() override;
  void OnWritable() override {}

 private:
  friend class HttpServerConnection;

  HttpListener(EventLoop& loop,
               int descriptor,
               HttpRequestHandler& handler,
               ClientResources resources);

  /// @brief Accepts at most `most` connections.
  /// @return whether there may be more.
  bool Accept(std::size_t most);
  void Add(int descriptor);
  void PauseAccepting();

  EventLoop& loop_;
  HttpRequestHandler& handler_;
  int descriptor_;
  std::uint16_t port_ = 0;
  HttpLimits limits_;
  bool is_draining_ = false;
  HttpListenerCounters counters_;
  ClientResources resources_;
  TimerId accept_timer_ = 0;
  std::unordered_set<std::shared_ptr<HttpServerConnection>> connections_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_LISTENER_H_
