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

/// @brief A request to send.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Duration timeout = std::chrono::seconds(2);
  /// Set for a non-idempotent request. When a reused connection closes before
  /// the first byte of a response, libcurl by itself resends the request; on a
  /// new connection it never does. Costs a connect, about 1 ms.
  bool needs_fresh_connection = false;
  std::size_t max_answer_bytes = std::size_t{1024} * 1024;
  /// Asked on the client's thread each time that there is a connection: whether
  /// the request may still be sent. None: it may.
  std::function<bool()> may_send;
};

/// @brief A complete response.
struct ClientResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool was_connection_reused = false;
  /// libcurl sent the request again, since a reused connection ended before the
  /// first byte of a response. What the response says of the request holds for
  /// the last time only.
  bool was_resent = false;
};

/// @brief Why there is no complete response.
enum class TransportFailure {
  kCannotConnect,  ///< The connection could not be established.
  kTimedOut,       ///< The timeout expired.
  kTruncated,      ///< The response ended before its announced length.
  kUnframed,       ///< The response announced no length, so its end is unknown.
  kTooLarge,       ///< The response exceeds `max_answer_bytes`.
  kMalformed,      ///< Not a valid response.
  kBroken,         ///< Any other failure of the connection.
  kCancelled,      ///< `Cancel` was called.
  kWithheld,       ///< `may_send` said no; nothing was sent.
};

/// @brief Describes a failed exchange.
struct TransportError {
  TransportFailure failure = TransportFailure::kBroken;
  /// True only when it is certain that no byte of the request was sent.
  bool is_proved_unsent = false;
  bool was_connection_reused = false;
  /// Of the response that is not complete; 0 if no whole, valid head arrived.
  int status = 0;
  HttpHeaders headers;
};

using ClientResult = Result<ClientResponse, TransportError>;
using ClientCallback = std::function<void(ClientResult)>;

/// @brief HTTP client that runs a libcurl multi handle with pooled connections
/// on one thread.
class HttpClient {
 public:
  struct Options {
    /// Idle connections in total; there are about 12 targets with 330
    /// connections each.
    long max_idle_connections = 1024;
    /// Concurrent connections to one origin; 0: unlimited.
    long max_connections_per_origin = 0;
    Duration connect_timeout = std::chrono::milliseconds(500);
    std::string ca_file;  ///< Trust anchors for https; empty: the system's.
  };

  using RequestId = std::uint64_t;

  explicit HttpClient(const Options& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Starts an exchange; `callback` runs once, on the client's thread.
  RequestId Send(ClientRequest request, ClientCallback callback);

  /// @brief Ends an exchange with kCancelled unless it has already ended.
  void Cancel(RequestId id);

  /// @brief Sends and blocks for the result; must not be called from a client
  /// callback.
  ClientResult SendAndWait(ClientRequest request);

  /// @brief Ends all exchanges with kCancelled; afterwards nothing is sent and
  /// no callback runs. For owners whose callbacks use objects that are
  /// destroyed before the client.
  void Stop();

  /// @brief Connections to `origin` ("http://ip:port") that are open now carry
  /// no further requests.
  void RetireConnections(std::string_view origin);

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_HTTP_CLIENT_H_
