#ifndef MEDLARCROFT_ADAPTERS_EVENT_HTTP_CLIENT_CONNECTION_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HTTP_CLIENT_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/event/event_http_client.h"
#include "adapters/event/tcp_stream.h"
#include "medlarcroft/request_path/response_attribution.h"
#include "medlarcroft/response/response_head.h"

namespace medlarcroft::adapters {

/// @brief One connection to a server; carries one exchange at a time.
class HttpClientConnection final
    : public StreamHandler,
      public std::enable_shared_from_this<HttpClientConnection> {
 public:
  HttpClientConnection(EventHttpClient& client,
                       std::string address,
                       const SocketAddress& socket_address);
  ~HttpClientConnection() override;

  void Start(ExchangeId exchange,
             OutboundRequest request,
             ExchangeCallback callback);
  /// @brief Takes in what has arrived.
  /// @return whether the connection is still open.
  bool CatchUp();
  /// @brief Closes immediately, without a callback.
  void Close();

  [[nodiscard]] const std::string& Address() const { return address_; }
  [[nodiscard]] bool IsConnected() const { return stream_.IsConnected(); }
  [[nodiscard]] ExchangeId Exchange() const { return exchange_; }
  [[nodiscard]] MonotonicTime IdleSince() const { return idle_since_; }
  [[nodiscard]] MonotonicTime IdleUntil() const { return idle_until_; }
  [[nodiscard]] bool MayCarry(std::string_view id) const {
    return attribution_.MayCarry(id);
  }
  void Fail(ExchangeFailure failure);

  void OnConnected() override;
  [[nodiscard]] std::size_t RoomToRead(std::size_t most) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void ResetParser();
  void Parse();
  /// @return why a complete head, not reported yet, is that of no response.
  [[nodiscard]] std::optional<response::HeadFault> FindHeadFault() const;
  void LogBroken(response::HeadFault fault);
  /// @brief Reports the head of the current response once it is complete.
  void ReportHead();
  /// @brief Reports the head of a response that comes when none is due.
  void ReportExtraHead(std::string_view bytes);
  /// @return whether another response may follow the one just parsed.
  bool HandleResponse();
  /// @brief Discards a response that does not belong to the request.
  /// @return whether the right one may follow.
  bool DiscardResponse(const HttpResponse& response,
                       request_path::ResponseName name,
                       bool keeps_alive);
  void UpdateIdleLimit(const HttpHeaders& headers);
  void Succeed(ExchangeResponse response);
  /// @brief Fails a response that takes more than there is room for.
  void FailForMemory();
  void ReserveWholeRange();
  /// @brief States what the response takes now.
  void CountBuffered();
  void ClearBuffers();
  void StopTimer();
  void OnTimeOver(ExchangeFailure failure);

  EventHttpClient& client_;
  const std::string address_;
  ExchangeId exchange_ = 0;
  OutboundRequest request_;
  ExchangeCallback callback_;
  request_path::ResponseAttribution attribution_;
  int unattributed_status_ = 0;
  std::optional<Parser> parser_;
  std::string input_;                   ///< Not parsed yet.
  std::shared_ptr<MemoryLease> lease_;  ///< For the response.
  int skipped_responses_ = 0;           ///< Interim, or to other requests.
  bool is_head_reported_ = false;
  bool is_reused_ = false;
  bool is_reusable_ = true;
  bool has_response_bytes_ = false;
  bool has_started_sending_ = false;
  MonotonicTime started_at_;
  MonotonicTime idle_since_;
  MonotonicTime idle_until_;
  Duration idle_limit_ = std::chrono::seconds(8);
  TimerId timer_ = 0;
  TcpStream stream_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_CLIENT_CONNECTION_H_
