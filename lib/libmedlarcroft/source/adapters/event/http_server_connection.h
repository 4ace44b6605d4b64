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
#include <utility>

#include "adapters/event/http_listener.h"
#include "adapters/event/tcp_stream.h"
#include "medlarcroft/delivery/response_delivery.h"

namespace medlarcroft::adapters {

/// @brief Why a connection is closed.
enum class CloseReason {
  kClientClosed,  ///< The client closed it.
  kBroken,        ///< It was reset, or the client is not reachable any more.
  kIdle,          ///< No request came, and nothing was owed.
  kNoProgress,    ///< The client reads nothing any more.
  kMemory,        ///< The same, while others need the memory.
  kDescriptors,   ///< Others need the connection more.
  kStop,          ///< This process stops.
};

/// @brief A client's connection: reads a request, waits for its response,
/// writes it, and parses what was pipelined once the kernel has taken that.
///
/// It stays open while the client reads what it is owed, however slowly.
class HttpServerConnection final
    : public HttpExchange,
      public StreamHandler,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(HttpListener& listener, int descriptor);
  ~HttpServerConnection() override;

  void Start(ClientConnections::Id place);

  void Respond(HttpResponse response) override;
  void OnCallerGone(std::function<void()> task) override {
    on_client_disconnected_ = std::move(task);
  }

  void Identify(std::string request, MonotonicTime wanted_until) override {
    delivery_.Identify(std::move(request), wanted_until);
  }
  [[nodiscard]] bool IsCallerGone() const override;

  [[nodiscard]] OwedResponses MeasureOwed();
  /// @brief Closes the connection for those of other clients, unless a request
  /// has arrived on it.
  /// @return whether it is closed.
  bool CloseForOthers();
  /// @brief Closes the connection because this process stops.
  void CloseForStop() { Release(CloseReason::kStop); }

  [[nodiscard]] std::size_t RoomToRead(std::size_t most) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(StreamEnd end) override;
  void OnSent() override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class Phase { kIdle, kReading, kServing, kClosing };

  void Parse();
  /// @brief Handles a head whose body has not arrived whole.
  /// @return whether the body is to be read.
  bool OnHead();
  [[nodiscard]] std::size_t MaxUnparsedBytes() const;
  [[nodiscard]] HttpRequest CopyHead() const;
  void DispatchRequest();
  void Dispatch(HttpRequest request);
  /// @brief Begins to hold bytes of requests in the memory account.
  void OpenLease();
  /// @brief States what the request that is read takes.
  void CountInput();
  /// @brief Others need the room of the request that is read.
  void OnGiveWay(resources::GiveWayReason reason);
  void LogGaveWay(std::string_view reason, const HttpRequest& head);
  /// @brief Refuses the request that is read: it did not run.
  void RefuseForOthers(resources::GiveWayReason reason);
  void WriteResponse(HttpResponse response, bool keeps_alive);
  [[nodiscard]] HeldMemory::Callbacks UnreadCallbacks();
  void SetState(resources::ConnectionState state);
  void RejectRequest(int status);
  void WaitForRequest();
  void SetDeadline(Duration delay, std::function<void()> task);
  /// @brief Reads what has arrived.
  /// @return whether the deadline that has just passed still counts.
  [[nodiscard]] bool IsStillDue();
  /// @return whether a request has arrived, in part at least, that is not read
  /// yet.
  [[nodiscard]] bool IsRequestWaiting() const;
  void LingerAndClose();
  /// @brief Parses pipelined bytes, but not from within the current call.
  void ParseNextSoon();
  [[nodiscard]] bool CanParse() const;
  /// @return what the client is owed now.
  [[nodiscard]] const delivery::ResponseDelivery& MeasureDelivery();
  /// @brief Checks again after `delay` whether the client has what it is owed,
  /// and closes the connection when there is nothing to wait for any more.
  void CheckDeliveryAfter(Duration delay);
  void CheckDelivery();
  [[nodiscard]] Duration TimeUntilUnused(MonotonicTime now) const;
  /// @brief States what unread responses take, which may release this
  /// connection.
  void CountUnsent();
  void LogIfOwing(CloseReason reason);
  void LogIfDropping(CloseReason reason);
  void Release(CloseReason reason);

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
  delivery::ResponseDelivery delivery_;
  ClientConnections::Id place_ = 0;
  bool has_served_ = false;
  bool is_turn_due_ = false;
  std::uint64_t requests_ = 0;
  std::size_t head_bytes_ = 0;  ///< Of the request that is read.
  /// For the request that is read, and what was sent ahead.
  std::shared_ptr<MemoryLease> lease_;
  /// For responses that the kernel has not taken.
  std::shared_ptr<MemoryLease> unsent_lease_;
  /// When the client was last known to be owed bytes, or served.
  MonotonicTime unused_since_;
  MonotonicTime last_input_at_;
  std::function<void()> on_client_disconnected_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_HTTP_SERVER_CONNECTION_H_
