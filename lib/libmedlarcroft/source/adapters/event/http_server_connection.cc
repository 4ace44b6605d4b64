#include "adapters/event/http_server_connection.h"

#include <utility>

#include "adapters/event/http_serialization.h"

namespace medlarcroft::adapters {

namespace {

namespace http = boost::beast::http;

// An answer that ends a connection is followed by this wait for the caller's
// own close: closing with unread bytes resets the connection, and the caller
// may lose the answer that it has not read yet.
constexpr Duration kLinger = std::chrono::seconds(1);
// What a caller may send ahead while its request is served.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

int StatusFor(const boost::beast::error_code& error) {
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

void HttpServerConnection::Begin() {
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
    has_asked_for_body_ = false;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(
        static_cast<std::uint32_t>(listener_->limits_.max_header_bytes));
    parser_->body_limit(listener_->limits_.max_body_bytes);
    SetDeadline(listener_->limits_.header_timeout, [this] {
      ++listener_->counters_.timed_out;
      Refuse(408);
    });
  }

  boost::beast::error_code error;
  const std::size_t used =
      parser_->put(boost::asio::buffer(input_.data(), input_.size()), error);
  input_.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
  }
  if (error) {
    ++listener_->counters_.malformed;
    Refuse(StatusFor(error));
    return;
  }
  if (parser_->is_done()) {
    HandOver();
    return;
  }
  if (parser_->is_header_done() && !has_asked_for_body_) {
    has_asked_for_body_ = true;
    const auto expectation = parser_->get()[http::field::expect];
    if (boost::beast::iequals(expectation, "100-continue")) {
      stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    // The time for the head is over; a body may take as long as a pause.
    SetDeadline(listener_->limits_.idle_timeout, [this] {
      ++listener_->counters_.timed_out;
      Refuse(408);
    });
  }
}

void HttpServerConnection::HandOver() {
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
  request.headers = CopyFields(message);
  request.body = std::move(message.body());
  is_head_request_ = request.method == "HEAD";
  listener_->handler_.OnRequest(std::move(request), shared_from_this());
}

void HttpServerConnection::Respond(HttpResponse response) {
  if (phase_ != Phase::kServing || listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  on_caller_gone_ = nullptr;
  const bool stays = keeps_alive_ && !listener_->is_draining_;
  stream_.Write(FormatResponse(
      response, {.keeps_alive = stays, .is_head_request = is_head_request_}));
  if (!stays) {
    LingerAndClose();
    return;
  }
  WaitForRequest();
  if (input_.empty()) {
    std::string().swap(input_);
    return;
  }
  // A request that was sent ahead: not from within the handler's own call.
  listener_->loop_.After(Duration(0), [this, self] {
    if (phase_ == Phase::kIdle && listener_ != nullptr && !input_.empty()) {
      Parse();
    }
  });
}

void HttpServerConnection::Refuse(int status) {
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
  SetDeadline(kLinger, [this] { Release(); });
}

void HttpServerConnection::OnEnd(StreamEnd /*end*/) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kServing && on_caller_gone_) {
    ++listener_->counters_.left_early;
    std::exchange(on_caller_gone_, nullptr)();
  }
  Release();
}

void HttpServerConnection::Release() {
  if (listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  if (phase_ == Phase::kServing && on_caller_gone_) {
    std::exchange(on_caller_gone_, nullptr)();
  }
  HttpListener& listener = *std::exchange(listener_, nullptr);
  phase_ = Phase::kClosing;
  stream_.Close();
  listener.loop_.Cancel(deadline_);
  listener.connections_.erase(self);
}

}  // namespace medlarcroft::adapters
