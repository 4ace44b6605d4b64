#include "adapters/event/http_client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "adapters/event/http_serialization.h"

namespace medlarcroft::adapters {

namespace {

namespace http = boost::beast::http;

// A server closes an idle connection at the time that it announced; a request
// sent just then meets a closed port. So it is let go that much earlier.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

std::optional<std::chrono::seconds> AnnouncedIdleTime(
    const HttpHeaders& headers) {
  const auto value = headers.Find("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value ? value->find(kName) : std::string_view::npos;
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = value->substr(at + kName.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

}  // namespace

HttpClientConnection::HttpClientConnection(EventHttpClient& caller,
                                           std::string address,
                                           const SocketAddress& socket_address)
    : caller_(caller),
      address_(std::move(address)),
      stream_(caller.loop_,
              socket_address,
              caller.options_.silence_limit,
              *this) {
  ++caller_.counters_.connections_opened;
}

HttpClientConnection::~HttpClientConnection() {
  StopTimer();
}

void HttpClientConnection::Start(ExchangeId exchange,
                                 OutboundRequest request,
                                 ExchangeCallback callback) {
  exchange_ = exchange;
  request_ = std::move(request);
  callback_ = std::move(callback);
  is_reused_ = stream_.IsConnected();
  started_at_ = caller_.loop_.Now();
  has_answer_bytes_ = false;
  has_started_sending_ = false;
  ResetParser();
  if (is_reused_) {
    ++caller_.counters_.connections_reused;
    OnConnected();
    return;
  }
  timer_ = caller_.loop_.After(
      std::min(request_.connect_timeout, request_.timeout), [this] {
        timer_ = 0;
        Fail(ExchangeFailure::kCannotConnect);
      });
}

void HttpClientConnection::OnConnected() {
  StopTimer();
  if (!is_reused_ && request_.on_connected) {
    request_.on_connected(caller_.loop_.Now() - started_at_);
  }
  timer_ = caller_.loop_.After(request_.timeout, [this] {
    timer_ = 0;
    Fail(ExchangeFailure::kTimedOut);
  });
  has_started_sending_ = true;
  stream_.Write(request_.text);
}

void HttpClientConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (exchange_ == 0) {
    // Bytes after a whole answer belong to no request.
    caller_.Forget(*this);
    return;
  }
  has_answer_bytes_ = true;
  input_.append(bytes);
  Parse();
}

void HttpClientConnection::ResetParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->skip(request_.is_head_request);
  parser_->body_limit(request_.max_answer_bytes);
}

void HttpClientConnection::Parse() {
  while (!input_.empty() && exchange_ != 0) {
    boost::beast::error_code error;
    const std::size_t used =
        parser_->put(boost::asio::buffer(input_.data(), input_.size()), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more) {
      Fail(error == http::error::body_limit ? ExchangeFailure::kTooLarge
                                            : ExchangeFailure::kMalformed);
      return;
    }
    if (!parser_->is_done()) {
      return;
    }
    if (!TakeAnswer()) {
      return;
    }
  }
}

bool HttpClientConnection::TakeAnswer() {
  const bool keeps_alive = parser_->keep_alive();
  auto message = parser_->release();
  if (message.result_int() / 100 == 1) {
    ResetParser();
    return true;
  }
  HttpResponse response;
  response.status = static_cast<int>(message.result_int());
  response.headers = CopyFields(message);
  response.body = std::move(message.body());
  if (request_.is_matching_response &&
      !request_.is_matching_response(response)) {
    ++caller_.counters_.foreign_answers;
    may_be_kept_ = false;
    if (!keeps_alive) {
      Fail(ExchangeFailure::kMalformed);
      return false;
    }
    ResetParser();
    return true;
  }
  // An answer before the whole request was read leaves the rest of its body
  // due on the connection.
  may_be_kept_ =
      may_be_kept_ && keeps_alive && input_.empty() && stream_.IsDrained();
  NoteKeepAlive(response.headers);
  Succeed(std::move(response));
  return false;
}

void HttpClientConnection::NoteKeepAlive(const HttpHeaders& headers) {
  if (const auto announced = AnnouncedIdleTime(headers)) {
    idle_limit_ = *announced - kIdleMargin;
  }
}

void HttpClientConnection::Succeed(HttpResponse response) {
  const auto self = shared_from_this();
  StopTimer();
  parser_.reset();
  std::string().swap(input_);
  caller_.busy_.erase(exchange_);
  exchange_ = 0;
  request_ = {};
  const ExchangeCallback callback = std::exchange(callback_, nullptr);
  idle_since_ = caller_.loop_.Now();
  idle_until_ = idle_since_ + idle_limit_;
  if (may_be_kept_ && idle_limit_ > Duration(0)) {
    caller_.KeepIdle(self);
  } else {
    stream_.Close();
  }
  callback(std::move(response));
}

void HttpClientConnection::Fail(ExchangeFailure failure) {
  const auto self = shared_from_this();
  const ExchangeError error{.failure = failure,
                            .is_proved_unsent = !has_started_sending_,
                            .was_connection_reused = is_reused_};
  if (failure == ExchangeFailure::kCannotConnect) {
    ++caller_.counters_.connect_failures;
  }
  const ExchangeCallback callback = std::exchange(callback_, nullptr);
  caller_.busy_.erase(exchange_);
  Close();
  if (callback) {
    callback(error);
  }
}

void HttpClientConnection::OnEnd(StreamEnd end) {
  const auto self = shared_from_this();
  if (exchange_ == 0) {
    caller_.Forget(*this);
    return;
  }
  if (end == StreamEnd::kCannotConnect) {
    Fail(ExchangeFailure::kCannotConnect);
    return;
  }
  if (!has_answer_bytes_) {
    Fail(ExchangeFailure::kClosed);
    return;
  }
  // An answer without a length ends with its connection, if that ends in order.
  boost::beast::error_code error;
  if (end == StreamEnd::kClosed && parser_->is_header_done() &&
      parser_->need_eof()) {
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      may_be_kept_ = false;
      if (TakeAnswer()) {
        Fail(ExchangeFailure::kMalformed);
      }
      return;
    }
  }
  Fail(ExchangeFailure::kTruncated);
}

void HttpClientConnection::Close() {
  StopTimer();
  exchange_ = 0;
  callback_ = nullptr;
  stream_.Close();
}

void HttpClientConnection::StopTimer() {
  caller_.loop_.Cancel(timer_);
  timer_ = 0;
}

}  // namespace medlarcroft::adapters
