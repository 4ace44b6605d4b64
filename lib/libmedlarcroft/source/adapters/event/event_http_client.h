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
#include "adapters/event/held_memory.h"
#include "adapters/event/log_budget.h"
#include "adapters/http/http_message.h"
#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/request_path/response_attribution.h"

namespace medlarcroft::adapters {

/// @brief Why an exchange has no complete response.
enum class ExchangeFailure {
  kCannotConnect,  ///< The connection could not be established.
  kTimedOut,       ///< The timeout expired.
  kClosed,         ///< The connection ended before any byte of a response.
  kTruncated,      ///< The connection ended within the response.
  kMalformed,      ///< Not a valid response, or none to this request.
  kUnattributed,   ///< A response that names no request came, and may be
                   ///< another's; the right one did not follow.
  kTooLarge,       ///< The response exceeds `max_answer_bytes`, or what all
                   ///< responses together may take.
};

/// @brief Describes a failed exchange.
struct ExchangeError {
  ExchangeFailure failure = ExchangeFailure::kClosed;
  /// No byte of the request was passed to the kernel, so the server can't have
  /// received any.
  bool is_proved_unsent = false;
  bool was_connection_reused = false;
  /// Of the response that could not be attributed; 0 if there was none.
  int status = 0;
  /// Final responses that the connection had brought before.
  std::uint32_t earlier_responses = 0;
};

/// @brief What the connection of a response had carried before it.
struct ConnectionUse {
  bool is_reused = false;  ///< Carried other requests before.
  /// Final responses that it had brought, to whatever request.
  std::uint32_t earlier_responses = 0;
};

/// @brief A complete response and where it came from.
struct ExchangeResponse : HttpResponse {
  ConnectionUse connection;
};

using ExchangeResult = Result<ExchangeResponse, ExchangeError>;
using ExchangeCallback = std::function<void(ExchangeResult)>;
using ExchangeId = std::uint64_t;

/// @brief A request to send.
struct OutboundRequest {
  std::string address;  ///< IP:port.
  std::string text;     ///< Serialized head and body, see FormatRequest.
  /// The rest of the body, which others may hold, too; unset: none.
  std::shared_ptr<HeldBytes> body;
  /// As the response may name the request, with `identify`.
  std::string id;
  bool is_head_request = false;
  Duration connect_timeout = std::chrono::milliseconds(500);
  /// For the exchange once connected. Only an upper bound: the owner cancels
  /// the exchange at its own deadline.
  Duration timeout = std::chrono::seconds(2);
  /// A pooled connection is reused only when it has been idle for less than
  /// this; zero always opens a new connection.
  Duration max_idle = std::chrono::seconds(8);
  std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
  /// Returns which request a response names; unset: every response answers the
  /// request that waits. A response that does not belong to this request by
  /// `ResponseAttribution` is discarded, and its connection is not reused.
  std::function<request_path::ResponseName(const HttpResponse&)> identify;
  /// How long to wait for the right response after one that names no request
  /// and may be another's.
  Duration unnamed_patience{0};
  /// Called with status and headers of each final response that arrives on the
  /// connection until another request takes it: also of one that is incomplete
  /// in the end, that does not match, or that comes when none is due.
  std::function<void(const HttpResponse&)> on_head;
  /// Called with the time that a new connection took to establish, about one
  /// round trip, before anything is sent on it. May cancel the exchange.
  std::function<void(Duration)> on_connected;
};

/// @brief Counters of a client.
struct EventHttpClientCounters {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;
  std::uint64_t connect_failures = 0;
  std::uint64_t mismatched_responses = 0;  ///< Belong to another request.
  /// Name no request, and no response that does followed.
  std::uint64_t unnamed_responses = 0;
  /// Given up since they took too much, with no end in sight.
  std::uint64_t endless_responses = 0;
};

class HttpClientConnection;

/// @brief HTTP/1.1 client on an event loop with pooled connections; responses
/// are parsed by Boost.Beast.
///
/// Exists beside the libcurl-based `HttpClient` because libcurl by itself
/// resends a request when a reused connection ends before the first byte of a
/// response: a second execution that no retry budget accounts for. Here each
/// call sends exactly once.
class EventHttpClient {
 public:
  struct Options {
    std::size_t max_idle_per_address = 6;
    /// For how long connections to an address carry one request each after a
    /// response from there named no request: the next one like it can be
    /// attributed only on a new connection. Targets name their requests or not
    /// by their software, which seldom changes.
    Duration single_use_after_unnamed = std::chrono::minutes(10);
    /// Closes connections whose peer acknowledges nothing for this long.
    Duration unacknowledged_timeout = std::chrono::seconds(3);
    /// Bounds what responses that are not complete yet take; unset: an account
    /// of this client's own.
    std::shared_ptr<HeldMemory> memory;
    /// As what the account counts them.
    resources::HolderKind held_as = resources::HolderKind::kAnswer;
  };

  EventHttpClient(EventLoop& loop, const Options& options);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  /// @brief Starts an exchange; `callback` runs once, never from within this
  /// call.
  ExchangeId Send(OutboundRequest request, ExchangeCallback callback);
  /// @brief Takes in what has arrived for an exchange, before its owner judges
  /// that it takes too long; its callback may run from within this call. Sends
  /// nothing.
  void CatchUp(ExchangeId exchange);
  /// @brief Aborts an exchange and closes its connection, without a callback.
  void Cancel(ExchangeId exchange);
  /// @brief Closes the idle connections to `address`.
  void CloseIdleConnections(const std::string& address);

  [[nodiscard]] const EventHttpClientCounters& Counters() const {
    return counters_;
  }
  [[nodiscard]] std::size_t IdleConnections() const;

 private:
  friend class HttpClientConnection;

  std::shared_ptr<HttpClientConnection> TakeIdle(
      const OutboundRequest& request);
  void AddIdle(const std::shared_ptr<HttpClientConnection>& connection);
  void RemoveIdle(HttpClientConnection& connection);
  /// @brief A request to `address` got a response that named no request, and
  /// none that did.
  void OnUnnamed(const std::string& address);
  [[nodiscard]] bool IsSingleUse(const std::string& address) const;

  EventLoop& loop_;
  Options options_;
  EventHttpClientCounters counters_;
  LogBudget log_budget_;
  ExchangeId last_exchange_ = 0;
  std::unordered_map<ExchangeId, std::shared_ptr<HttpClientConnection>> active_;
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<HttpClientConnection>>>
      idle_;
  std::unordered_map<std::string, MonotonicTime> single_use_until_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_EVENT_HTTP_CLIENT_H_
