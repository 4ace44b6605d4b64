#include "adapters/event/http_server_connection.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "adapters/event/http_serialization.h"
#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

namespace http = boost::beast::http;

// How long to wait for the client to close after it has received a response
// that ends the connection, and has stopped sending: a close resets the
// connection if bytes arrive later, and a client that is still sending may not
// read on then.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
// How often to look whether a client reads what it is owed.
constexpr Duration kDeliveryCheckPeriod = std::chrono::milliseconds(500);
// How much a client may pipeline while its request is served.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{64} * 1024;

constexpr std::array<std::string_view, 6> kCloseReasonNames = {
    "client-closed", "broken", "idle", "no-progress", "memory", "stop"};

bool IsOwnDecision(CloseReason reason) {
  return reason != CloseReason::kClientClosed && reason != CloseReason::kBroken;
}

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
  unused_since_ = listener_->loop_.Now();
  WaitForRequest();
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  if (phase_ == Phase::kClosing) {
    last_input_at_ = listener_->loop_.Now();
    return;
  }
  const auto self = shared_from_this();
  input_.append(bytes);
  if (CanParse()) {
    Parse();
  } else if (input_.size() >= kMaxPipelinedBytes) {
    stream_.PauseReading();
  }
}

// Guards against memory that grows with each pipelined request of a client that
// does not read: the next one waits until the kernel has taken the response
// before it.
bool HttpServerConnection::CanParse() const {
  return phase_ == Phase::kReading ||
         (phase_ == Phase::kIdle && stream_.IsDrained());
}

void HttpServerConnection::ParseNextSoon() {
  listener_->loop_.After(Duration(0), [self = shared_from_this()] {
    if (self->listener_ != nullptr && self->phase_ == Phase::kIdle &&
        !self->input_.empty() && self->CanParse()) {
      self->stream_.ResumeReading();
      self->Parse();
    }
  });
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
  delivery_.OnRequest(listener_->loop_.Now());
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
  std::string text = FormatResponse(
      response,
      {.keeps_alive = keeps_alive, .is_head_request = is_head_request_});
  unused_since_ = listener_->loop_.Now();
  delivery_.OnResponse(stream_.UnsentBytes() + text.size(), unused_since_);
  stream_.Write(std::move(text));
  CountUnsent();
  if (listener_ == nullptr) {
    return;
  }
  if (!keeps_alive) {
    LingerAndClose();
    return;
  }
  WaitForRequest();
  if (input_.empty()) {
    std::string().swap(input_);
    return;
  }
  ParseNextSoon();
}

void HttpServerConnection::OnSent() {
  const auto self = shared_from_this();
  delivery_.OnProgress(listener_->loop_.Now());
  CountUnsent();
  if (listener_ != nullptr && stream_.IsDrained() && !input_.empty()) {
    ParseNextSoon();
  }
}

bool HttpServerConnection::IsCallerGone() const {
  return listener_ == nullptr || phase_ != Phase::kServing ||
         stream_.HasPeerClosed();
}

void HttpServerConnection::RejectRequest(int status) {
  phase_ = Phase::kServing;
  delivery_.OnRequest(listener_->loop_.Now());
  keeps_alive_ = false;
  is_head_request_ = false;
  Respond({.status = status});
}

void HttpServerConnection::WaitForRequest() {
  phase_ = Phase::kIdle;
  CheckDeliveryAfter(stream_.IsDrained() ? listener_->limits_.idle_timeout
                                         : kDeliveryCheckPeriod);
}

const delivery::ResponseDelivery& HttpServerConnection::MeasureDelivery() {
  delivery_.OnMeasured(stream_.UndeliveredBytes(), listener_->loop_.Now());
  return delivery_;
}

OwedResponses HttpServerConnection::MeasureOwed() {
  const delivery::ResponseDelivery& delivery = MeasureDelivery();
  if (!delivery.IsIdentified()) {
    return {};
  }
  const bool is_waited_for = delivery.DelaysStop(listener_->loop_.Now());
  OwedResponses owed{.bytes = delivery.Undelivered()};
  if (delivery.HasRequest()) {
    owed.requests = is_waited_for && !IsCallerGone() ? 1 : 0;
  } else if (delivery.Undelivered() > 0) {
    (is_waited_for ? owed.responses : owed.given_up) = 1;
  }
  return owed;
}

void HttpServerConnection::CheckDeliveryAfter(Duration delay) {
  SetDeadline(delay, [this] { CheckDelivery(); });
}

// Guards against responses that a close drops: a timer that began when the
// response was written ends the connection of a client that reads slowly, with
// the rest of the response unsent. It begins when the client has everything. A
// client that reads nothing for an idle timeout is given up.
void HttpServerConnection::CheckDelivery() {
  const MonotonicTime now = listener_->loop_.Now();
  const Duration patience = listener_->limits_.idle_timeout;
  if (MeasureDelivery().Undelivered() > 0) {
    unused_since_ = now;
    if (delivery_.WithoutProgress(now) >= patience) {
      Release(CloseReason::kNoProgress);
    } else {
      CheckDeliveryAfter(std::min(kDeliveryCheckPeriod, patience));
    }
    return;
  }
  const Duration time_left = TimeUntilUnused(now);
  if (time_left <= Duration(0)) {
    Release(CloseReason::kIdle);
  } else {
    CheckDeliveryAfter(time_left);
  }
}

Duration HttpServerConnection::TimeUntilUnused(MonotonicTime now) const {
  const Duration idle = unused_since_ + listener_->limits_.idle_timeout - now;
  if (phase_ != Phase::kClosing) {
    return idle;
  }
  const Duration linger =
      std::max(unused_since_, last_input_at_) + kLingerTimeout - now;
  return std::min(idle, linger);
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
  // What is still sent is read and dropped.
  stream_.ResumeReading();
  CheckDeliveryAfter(stream_.IsDrained() ? kLingerTimeout
                                         : kDeliveryCheckPeriod);
}

void HttpServerConnection::OnEnd(StreamEnd end) {
  const auto self = shared_from_this();
  if (phase_ == Phase::kServing && on_client_disconnected_) {
    ++listener_->counters_.disconnected_before_response;
    std::exchange(on_client_disconnected_, nullptr)();
  }
  Release(end == StreamEnd::kClosed ? CloseReason::kClientClosed
                                    : CloseReason::kBroken);
}

void HttpServerConnection::CountUnsent() {
  const std::size_t before =
      std::exchange(counted_unsent_bytes_, stream_.UnsentBytes());
  listener_->OnUnsent(before, counted_unsent_bytes_);
}

void HttpServerConnection::LogIfOwing(CloseReason reason) {
  const MonotonicTime now = listener_->loop_.Now();
  const delivery::ResponseDelivery& owed = MeasureDelivery();
  // Others than identified requests are repeated elsewhere, and their callers
  // learn of the end at once.
  const bool is_cut =
      IsOwnDecision(reason) && owed.HasRequest() && owed.IsIdentified();
  if (!is_cut && owed.Undelivered() == 0) {
    return;
  }
  ++listener_->counters_.responses_cut;
  Log(LogLevel::kWarning, "response-cut",
      {{"request", owed.Request()},
       {"reason", kCloseReasonNames.at(static_cast<std::size_t>(reason))},
       {"is_answered", !owed.HasRequest()},
       {"undelivered_bytes", owed.Undelivered()},
       {"unsent_bytes", stream_.UnsentBytes()},
       {"age_ms", ToMilliseconds(owed.Age(now))},
       {"without_progress_ms", ToMilliseconds(owed.WithoutProgress(now))}});
}

void HttpServerConnection::Release(CloseReason reason) {
  if (listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  LogIfOwing(reason);
  if (phase_ == Phase::kServing && on_client_disconnected_) {
    std::exchange(on_client_disconnected_, nullptr)();
  }
  HttpListener& listener = *std::exchange(listener_, nullptr);
  phase_ = Phase::kClosing;
  // What the kernel holds still reaches the client, unless unread input resets
  // the connection. One that reads nothing has been given up.
  if (reason != CloseReason::kNoProgress && reason != CloseReason::kMemory) {
    stream_.DiscardInput();
  }
  stream_.Close();
  listener.loop_.Cancel(deadline_);
  listener.connections_.erase(self);
  listener.OnUnsent(std::exchange(counted_unsent_bytes_, 0), 0);
}

}  // namespace medlarcroft::adapters
