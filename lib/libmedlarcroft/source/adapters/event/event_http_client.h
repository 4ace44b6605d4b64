#ifndef MEDLARCROFT_ADAPTERS_EVENT_EVENT_HTTP_CLIENT_H_
#define MEDLARCROFT_ADAPTERS_EVENT_EVENT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "adapters/event/event_loop.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Why an exchange has no whole answer.
enum class ExchangeFailure {
  kCannotConnect,  ///< No connection came about.
  kTimedOut,       ///< The timeout passed.
  kClosed,         ///< The connection ended before any byte of an answer.
  kTruncated,      ///< The answer ended before its end.
  kMalformed,      ///< What came is no answer, or no answer to this request.
  kTooLarge,       ///< The answer is larger than the request allows.
};

/// @brief A failed exchange.
struct ExchangeError {
  ExchangeFailure failure = ExchangeFailure::kClosed;
  /// No byte of the request reached the kernel: the other end can't have seen
  /// any.
  bool is_proved_unsent = false;
  bool was_connection_reused = false;
};

using ExchangeResult = Result<HttpResponse, ExchangeError>;
using ExchangeCallback = std::function<void(ExchangeResult)>;
using ExchangeId = std::uint64_t;

/// @brief One request to send.
struct OutboundRequest {
  std::string address;  ///< IP:port.
  std::string text;     ///< Head and body, see FormatRequest.
  bool is_head_request = false;
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// For all of it; a maximal value: the owner cancels it in time.
  Duration timeout = std::chrono::seconds(2);
  /// A pooled connection may carry it only when it was idle for less. Zero:
  /// always a new connection.
  Duration max_idle = std::chrono::seconds(8);
  std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
  /// Tells whether an answer belongs to this request; one that does not is
  /// skipped, and its connection is used no more.
  std::function<bool(const HttpResponse&)> is_matching_response;
  /// Hears how long a new connection took: about one round trip.
  std::function<void(Duration)> on_connected;
};

/// @brief What a caller has done.
struct EventHttpClientCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t foreign_answers = 0;  ///< Of another request.
};

class HttpClientConnection;

/// @brief Sends requests on an event loop, parsed by Boost.Beast, over pooled
/// connections.
///
/// It stands beside the client on libcurl since that one sends a request again
/// by itself when a reused connection ends before the first byte of an answer,
/// which would be a second run beside every budget. Here one call is one send.
class EventHttpClient {
 public:
  struct Options {
    std::size_t max_idle_per_address = 6;
    /// Ends connections whose other end is silent.
    Duration silence_limit = std::chrono::seconds(3);
  };

  EventHttpClient(EventLoop& loop, const Options& options);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  /// @brief Starts an exchange; `callback` runs once, never within this call.
  ExchangeId Send(OutboundRequest request, ExchangeCallback callback);
  /// @brief Ends an exchange and closes its connection, without a callback.
  void Cancel(ExchangeId exchange);
  /// @brief No idle connection to `address` is used again.
  void CloseIdleConnections(const std::string& address);

  [[nodiscard]] const EventHttpClientCounters& Counters() const {
    return counters_;
  }
  [[nodiscard]] std::size_t IdleConnections() const;

 private:
  friend class HttpClientConnection;

  std::shared_ptr<HttpClientConnection> TakeIdle(const std::string& address,
                                                 Duration max_idle);
  void KeepIdle(const std::shared_ptr<HttpClientConnection>& connection);
  void Forget(HttpClientConnection& connection);

  EventLoop& loop_;
  const Options options_;
  EventHttpClientCounters counters_;
  ExchangeId last_exchange_ = 0;
  std::unordered_map<ExchangeId, std::shared_ptr<HttpClientConnection>> busy_;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<HttpClientConnection>>>
      idle_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_EVENT_HTTP_CLIENT_H_
