#ifndef MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERVER_CONNECTION_H_
#define MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERVER_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/event/http_listener.h"
#include "adapters/event/tcp_stream.h"

namespace medlarcroft::adapters {

/// @brief A client's connection: reads a request, waits for its response,
/// writes it, and only then parses pipelined bytes.
class HttpServerConnection final
    : public HttpExchange,
      public StreamHandler,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(HttpListener& listener, int descriptor);
  ~HttpServerConnection() override;

  void Start();

  void Respond(HttpResponse response) override;
  void OnCallerGone(std::function<void()> task) override {
    on_client_disconnected_ = std::move(task);
  }

  [[nodiscard]] bool IsCallerGone() const override;

  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class Phase { kIdle, kReading, kServing, kClosing };

  void Parse();
  [[nodiscard]] std::size_t MaxUnparsedBytes() const;
  void DispatchRequest();
  void RejectRequest(int status);
  void WaitForRequest();
  void SetDeadline(Duration delay, std::function<void()> task);
  void LingerAndClose();
  void Release();

  // Null once the listener has released this connection.
  HttpListener* listener_;
  TcpStream stream_;
  Phase phase_ = Phase::kIdle;
  std::string input_;
  std::optional<Parser> parser_;
  bool is_head_request_ = false;
  bool keeps_alive_ = true;
  bool has_handled_header_ = false;
  TimerId deadline_ = 0;
  std::function<void()> on_client_disconnected_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERVER_CONNECTION_H_
