#ifndef MEDLARCROFT_ADAPTERS_HTTP_HTTP_CLIENT_H_
#define MEDLARCROFT_ADAPTERS_HTTP_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/http/http_message.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief One request to send.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);
  /// Set for a non-idempotent request. On a reused connection that the other
  /// end closes before its first byte of answer, libcurl sends the request
  /// again by itself; on a fresh one it never does. Costs a connect, ~1 ms.
  bool needs_fresh_connection = false;
  std::size_t max_answer_bytes = std::size_t{1024} * 1024;
};

/// @brief A whole answer.
struct ClientResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

/// @brief Why there is no whole answer.
enum class TransportFailure {
  kCannotConnect,  ///< No connection came about.
  kTimedOut,       ///< The timeout passed.
  kTruncated,      ///< The answer ended before its announced end.
  kUnframed,   ///< The answer's end was not announced, so it can't be known.
  kTooLarge,   ///< The answer is larger than the request allows.
  kBroken,     ///< The connection failed otherwise.
  kCancelled,  ///< `Cancel` was called.
};

/// @brief A failed exchange.
struct TransportError {
  TransportFailure failure = TransportFailure::kBroken;
  /// True only when it is proved that no byte of the request was sent.
  bool is_proved_unsent = false;
  bool was_connection_reused = false;
};

using ClientResult = Result<ClientResponse, TransportError>;
using ClientCallback = std::function<void(ClientResult)>;

/// @brief Sends requests from one thread on a libcurl multi handle, with pooled
/// connections.
class HttpClient {
 public:
  struct Options {
    /// Idle connections kept in all; today about 12 targets with 330 each.
    long max_idle_connections = 1024;
    /// Connections to one origin at once; 0: no limit.
    long max_connections_per_origin = 0;
    Duration connect_timeout = std::chrono::milliseconds(500);
    std::string ca_file;  ///< Trust anchors for https; empty: the system's.
  };

  using RequestId = std::uint64_t;

  explicit HttpClient(const Options& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts the exchange. `callback` runs once, on the client's thread.
  RequestId Send(ClientRequest request, ClientCallback callback);

  /// @brief Ends an exchange with kCancelled unless it has ended already.
  void Cancel(RequestId id);

  /// @brief Sends and blocks for the result; not for a client callback.
  ClientResult SendAndWait(ClientRequest request);

  /// @brief Ends all exchanges with kCancelled; after it nothing is sent or
  /// called back any more. For owners whose callbacks use parts that are
  /// destroyed before the client.
  void Stop();

  /// @brief No connection to `origin` ("http://ip:port") that is open now will
  /// carry another request.
  void RetireConnections(std::string_view origin);

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_HTTP_CLIENT_H_
