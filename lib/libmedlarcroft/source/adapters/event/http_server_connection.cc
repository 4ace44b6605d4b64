#include "adapters/event/http_server_connection.h"

#include <algorithm>
#include <utility>

#include "adapters/event/http_serialization.h"

namespace medlarcroft::adapters {

namespace {

namespace http = boost::beast::http;

// How long to wait for the client to close after a response that ends the
// connection: closing a socket with unread bytes resets the connection, and the
// client may lose the response that it has not read yet.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// How much a client may pipeline while its request is served.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

int StatusOf(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) {
    return 431;
  }
  return error == http::error::body_limit ? 413 : 400;
}

}  // namespace

HttpServerConnection::HttpServerConnection(HttpListener& listener,
                                           int descriptor)
    : listener_(&listener), stream_(listener.loop_, descriptor, *this) {}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::Start() {
  WaitForRequest();
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  if (phase_ == Phase::kClosing) {
    return;
  }
  if (phase_ == Phase::kServing &&
      input_.size() + bytes.size() > kMaxPipelinedBytes) {
    Release();
    return;
  }
  const auto self = shared_from_this();
  input_.append(bytes);
  if (phase_ != Phase::kServing) {
    Parse();
  }
}

void HttpServerConnection::Parse() {
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    keeps_alive_ = true;
    has_handled_header_ = false;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(
        static_cast<std::uint32_t>(listener_->limits_.max_header_bytes));
    parser_->body_limit(listener_->limits_.max_body_bytes);
    SetDeadline(listener_->limits_.header_timeout, [this] {
      ++listener_->counters_.timed_out;
      RejectRequest(408);
    });
  }

  boost::beast::error_code error;
  const std::size_t used =
      parser_->put(boost::asio::buffer(input_.data(), input_.size()), error);
  input_.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
  }
  // Guards against a caller whose chunk size never ends.
  if (!error && !parser_->is_done() && input_.size() > MaxUnparsedBytes()) {
    error = http::error::bad_chunk;
  }
  if (error) {
    ++listener_->counters_.malformed;
    RejectRequest(StatusOf(error));
    return;
  }
  if (parser_->is_done()) {
    DispatchRequest();
    return;
  }
  if (parser_->is_header_done() && !has_handled_header_) {
    has_handled_header_ = true;
    const auto expectation = parser_->get()[http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue")) {
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    // The head is complete; a body may take as long as an idle period.
    SetDeadline(listener_->limits_.idle_timeout, [this] {
      ++listener_->counters_.timed_out;
      RejectRequest(408);
    });
  }
}

std::size_t HttpServerConnection::MaxUnparsedBytes() const {
  return std::max(kMaxPipelinedBytes, listener_->limits_.max_header_bytes);
}

void HttpServerConnection::DispatchRequest() {
  phase_ = Phase::kServing;
  listener_->loop_.Cancel(deadline_);
  deadline_ = 0;
  ++listener_->counters_.requests;

  keeps_alive_ = parser_->keep_alive();
  auto message = parser_->release();
  parser_.reset();
  HttpRequest request;
  request.method.assign(message.method_string().data(),
                        message.method_string().size());
  request.raw_target.assign(message.target().data(), message.target().size());
  request.headers = CopyHeaders(message);
  request.body = std::move(message.body());
  is_head_request_ = request.method == "HEAD";
  listener_->handler_.OnRequest(std::move(request), shared_from_this());
}

void HttpServerConnection::Respond(HttpResponse response) {
  if (phase_ != Phase::kServing || listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  on_client_disconnected_ = nullptr;
  const bool keeps_alive = keeps_alive_ && !listener_->is_draining_;
  stream_.Write(FormatResponse(
      response,
      {.keeps_alive = keeps_alive, .is_head_request = is_head_request_}));
  if (!keeps_alive) {
    LingerAndClose();
    return;
  }
  WaitForRequest();
  if (input_.empty()) {
    std::string().swap(input_);
    return;
  }
  // Parses a pipelined request, but not from within the handler's own call.
  listener_->loop_.After(Duration(0), [this, self] {
    if (phase_ == Phase::kIdle && listener_ != nullptr && !input_.empty()) {
      Parse();
    }
  });
}

bool HttpServerConnection::IsCallerGone() const {
  return listener_ == nullptr || phase_ != Phase::kServing ||
         stream_.HasPeerClosed();
}

void HttpServerConnection::RejectRequest(int status) {
  phase_ = Phase::kServing;
  keeps_alive_ = false;
  is_head_request_ = false;
  Respond({.status = status});
}

void HttpServerConnection::WaitForRequest() {
  phase_ = Phase::kIdle;
  SetDeadline(listener_->limits_.idle_timeout, [this] { Release(); });
}

void HttpServerConnection::SetDeadline(Duration delay,
                                       std::function<void()> task) {
  listener_->loop_.Cancel(deadline_);
  deadline_ = listener_->loop_.After(
      delay, [self = weak_from_this(), task = std::move(task)] {
        if (const auto connection = self.lock();
            connection && connection->listener_ != nullptr) {
          task();
        }
      });
}

void HttpServerConnection::LingerAndClose() {
  phase_ = Phase::kClosing;
  stream_.FinishWriting();
  SetDeadline(kLingerTimeout, [this] { Release(); });
}

void HttpServerConnection::OnEnd(StreamEnd /*end*/) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kServing && on_client_disconnected_) {
    ++listener_->counters_.disconnected_before_response;
    std::exchange(on_client_disconnected_, nullptr)();
  }
  Release();
}

void HttpServerConnection::Release() {
  if (listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  if (phase_ == Phase::kServing && on_client_disconnected_) {
    std::exchange(on_client_disconnected_, nullptr)();
  }
  HttpListener& listener = *std::exchange(listener_, nullptr);
  phase_ = Phase::kClosing;
  stream_.Close();
  listener.loop_.Cancel(deadline_);
  listener.connections_.erase(self);
}

}  // namespace medlarcroft::adapters
