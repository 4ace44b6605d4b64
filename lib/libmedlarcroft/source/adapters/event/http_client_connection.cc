#include "adapters/event/http_client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "adapters/event/http_serialization.h"
#include "adapters/process/log.h"

namespace medlarcroft::adapters {

namespace {

namespace http = boost::beast::http;
using request_path::ResponseName;

// A server closes an idle connection after the timeout that it announced; a
// request sent at that moment reaches a closed connection. So connections
// expire this much earlier.
constexpr Duration kIdleExpiryMargin = std::chrono::milliseconds(700);

// The parser takes a body as it comes. What it leaves is a line that has not
// ended: a head, the size of a chunk, or trailers.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{64} * 1024;
// Smaller bodies of unknown length grow as they come.
constexpr std::size_t kWholeRangeBytes = std::size_t{64} * 1024;
// Interim responses and late responses to other requests that may precede the
// response. A server that sends them without end never answers.
constexpr int kMaxSkippedResponses = 32;

std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    const HttpHeaders& headers) {
  const auto value = headers.Find("Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t position =
      value ? value->find(kName) : std::string_view::npos;
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = value->substr(position + kName.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

std::optional<response::HeadFault> FindFault(
    const http::response_header<>& header) {
  response::ResponseHead head(static_cast<int>(header.result_int()));
  for (const auto& field : header) {
    head.OnField(
        {.name = {field.name_string().data(), field.name_string().size()},
         .value = {field.value().data(), field.value().size()}});
  }
  return head.Fault();
}

}  // namespace

HttpClientConnection::HttpClientConnection(EventHttpClient& client,
                                           std::string address,
                                           const SocketAddress& socket_address)
    : client_(client),
      address_(std::move(address)),
      stream_(client.loop_,
              socket_address,
              client.options_.unacknowledged_timeout,
              *this) {
  ++client_.counters_.connections_opened;
}

HttpClientConnection::~HttpClientConnection() {
  StopTimer();
  ClearBuffers();
}

void HttpClientConnection::Start(ExchangeId exchange,
                                 OutboundRequest request,
                                 ExchangeCallback callback) {
  exchange_ = exchange;
  request_ = std::move(request);
  callback_ = std::move(callback);
  is_reused_ = stream_.IsConnected();
  started_at_ = client_.loop_.Now();
  has_response_bytes_ = false;
  has_started_sending_ = false;
  skipped_responses_ = 0;
  unattributed_status_ = 0;
  attribution_.OnSent(request_.id);
  ResetParser();
  if (is_reused_) {
    ++client_.counters_.connections_reused;
    OnConnected();
    return;
  }
  timer_ = client_.loop_.After(
      std::min(request_.connect_timeout, request_.timeout),
      [this] { OnTimeOver(ExchangeFailure::kCannotConnect); });
}

void HttpClientConnection::OnConnected() {
  const auto self = shared_from_this();
  StopTimer();
  if (!is_reused_ && request_.on_connected) {
    request_.on_connected(client_.loop_.Now() - started_at_);
    if (exchange_ == 0) {
      return;
    }
  }
  timer_ = client_.loop_.After(
      request_.timeout, [this] { OnTimeOver(ExchangeFailure::kTimedOut); });
  has_started_sending_ = true;
  stream_.Write(std::move(request_.text));
  if (request_.body) {
    stream_.Write(std::move(request_.body));
  }
}

// Guards against responses that are dropped although they are there: on a host
// that was held up, the time of many exchanges is over before the loop comes to
// what arrived for them.
void HttpClientConnection::OnTimeOver(ExchangeFailure failure) {
  const auto self = shared_from_this();
  const ExchangeId exchange = exchange_;
  timer_ = 0;
  stream_.CatchUp();
  if (exchange_ == exchange && timer_ == 0) {
    Fail(failure);
  }
}

bool HttpClientConnection::CatchUp() {
  const auto self = shared_from_this();
  stream_.CatchUp();
  return stream_.IsOpen();
}

std::size_t HttpClientConnection::RoomToRead(std::size_t most) {
  if (exchange_ == 0) {
    return most;
  }
  const auto self = shared_from_this();
  if (!lease_) {
    lease_ = client_.options_.memory->Open(
        client_.options_.held_as,
        {.give_way = [weak = weak_from_this()](resources::GiveWayReason) {
          if (const auto connection = weak.lock()) {
            connection->FailForMemory();
          }
        }});
  }
  std::size_t growth = GrowthOf(input_, most);
  if (parser_ && parser_->is_header_done()) {
    growth += GrowthOfBody(
        parser_->get().body(), most,
        parser_->content_length().value_or(request_.max_answer_bytes));
  }
  // Whoever gives way may end this exchange, too.
  const auto lease = lease_;
  const MemoryLease::Room room = lease->Ask(growth);
  if (exchange_ == 0) {
    return 0;
  }
  if (room != MemoryLease::Room::kGranted) {
    FailForMemory();
    return 0;
  }
  return most;
}

void HttpClientConnection::FailForMemory() {
  ++client_.counters_.endless_responses;
  Fail(ExchangeFailure::kTooLarge);
}

void HttpClientConnection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (exchange_ == 0) {
    // Bytes after a complete response belong to no request.
    ReportExtraHead(bytes);
    client_.RemoveIdle(*this);
    return;
  }
  has_response_bytes_ = true;
  input_.append(bytes);
  Parse();
}

void HttpClientConnection::ResetParser() {
  is_head_reported_ = false;
  parser_.emplace();
  parser_->skip(request_.is_head_request);
  parser_->body_limit(
      std::min(request_.max_answer_bytes,
               client_.options_.memory->Account().Limits().Largest()));
}

void HttpClientConnection::Parse() {
  while (!input_.empty() && exchange_ != 0) {
    boost::beast::error_code error;
    const std::size_t used =
        parser_->put(boost::asio::buffer(input_.data(), input_.size()), error);
    input_.erase(0, used);
    // Only then: if the parser read the body in the same step, it would reserve
    // the announced length before it tells that this is too much.
    parser_->eager(parser_->is_header_done());
    if (const auto fault = FindHeadFault()) {
      LogBroken(*fault);
      Fail(ExchangeFailure::kMalformed);
    } else {
      ReportHead();
    }
    if (exchange_ == 0) {
      return;
    }
    if (error && error != http::error::need_more) {
      const bool is_too_large = error == http::error::body_limit;
      client_.counters_.endless_responses +=
          is_too_large || error == http::error::header_limit ? 1 : 0;
      Fail(is_too_large ? ExchangeFailure::kTooLarge
                        : ExchangeFailure::kMalformed);
      return;
    }
    if (!parser_->is_done()) {
      ReserveWholeRange();
      if (used == 0) {
        break;
      }
      continue;
    }
    if (!HandleResponse()) {
      return;
    }
  }
  if (exchange_ == 0) {
    return;
  }
  if (input_.size() > kMaxUnparsedBytes ||
      skipped_responses_ > kMaxSkippedResponses) {
    ++client_.counters_.endless_responses;
    Fail(ExchangeFailure::kMalformed);
    return;
  }
  CountBuffered();
}

// Guards against a body of unknown length that is copied each time it grows,
// and held twice meanwhile: only pages that are written take memory.
void HttpClientConnection::ReserveWholeRange() {
  std::string& body = parser_->get().body();
  if (parser_->is_header_done() && !parser_->content_length() &&
      body.size() >= kWholeRangeBytes) {
    body.reserve(std::min(request_.max_answer_bytes,
                          client_.options_.memory->Account().CeilingOf(
                              client_.options_.held_as)));
  }
}

void HttpClientConnection::CountBuffered() {
  if (!lease_) {
    return;
  }
  const auto lease = lease_;
  lease->Set(input_.capacity() + (parser_ ? parser_->get().body().size() : 0));
}

void HttpClientConnection::ClearBuffers() {
  parser_.reset();
  std::string().swap(input_);
  lease_.reset();
}

std::optional<response::HeadFault> HttpClientConnection::FindHeadFault() const {
  return !is_head_reported_ && parser_->is_header_done()
             ? FindFault(parser_->get())
             : std::nullopt;
}

void HttpClientConnection::LogBroken(response::HeadFault fault) {
  LogBudget& budget = client_.log_budget_;
  if (budget.Take(client_.loop_.Now())) {
    Log(LogLevel::kWarning, "response-broken",
        {{"request", request_.id},
         {"address", address_},
         {"fault", response::NameOf(fault)},
         {"lines_left_out", budget.TakeLeftOut()}});
  }
}

// Before the body: it may break off, and what the head says holds all the same.
void HttpClientConnection::ReportHead() {
  if (is_head_reported_ || !parser_->is_header_done()) {
    return;
  }
  is_head_reported_ = true;
  const auto& message = parser_->get();
  if (lease_ && parser_->content_length() &&
      client_.options_.held_as == resources::HolderKind::kAnswer) {
    // What it takes in the end is known, so it can't be endless.
    lease_->SetKind(
        resources::HolderKind::kAnnouncedAnswer,
        {.give_way = [weak = weak_from_this()](resources::GiveWayReason) {
          if (const auto connection = weak.lock()) {
            connection->FailForMemory();
          }
        }});
  }
  if (request_.on_head && message.result_int() / 100 != 1) {
    request_.on_head({.status = static_cast<int>(message.result_int()),
                      .headers = CopyHeaders(message)});
  }
}

void HttpClientConnection::ReportExtraHead(std::string_view bytes) {
  ResetParser();
  boost::beast::error_code error;
  parser_->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (!FindHeadFault()) {
    ReportHead();
  }
  parser_.reset();
}

bool HttpClientConnection::HandleResponse() {
  const bool keeps_alive = parser_->keep_alive();
  auto message = parser_->release();
  if (message.result_int() / 100 == 1) {
    ++skipped_responses_;
    ResetParser();
    return true;
  }
  ExchangeResponse response;
  response.connection = {.is_reused = is_reused_,
                         .earlier_responses = attribution_.Responses()};
  response.status = static_cast<int>(message.result_int());
  response.headers = CopyHeaders(message);
  response.body = std::move(message.body());
  response.lease = lease_;
  const ResponseName name =
      request_.identify ? request_.identify(response) : ResponseName::kOwn;
  const bool may_be_sent_again =
      request_.identify && response.status / 100 != 2;
  if (!attribution_.OnResponse(name, may_be_sent_again)) {
    return DiscardResponse(response, name, keeps_alive);
  }
  if (name == ResponseName::kUnnamed) {
    client_.OnUnnamed(address_);
  }
  // After a response that came before the whole request was read, the rest of
  // the request's body is still due on the connection.
  is_reusable_ = is_reusable_ && attribution_.IsReusable() && keeps_alive &&
                 input_.empty() && stream_.IsDrained();
  UpdateIdleLimit(response.headers);
  Succeed(std::move(response));
  return false;
}

// Guards against a caller that is told that its request did not run because of
// a refusal that answered an earlier one: the request goes on. Its response may
// follow. If it does not, the request may have run.
bool HttpClientConnection::DiscardResponse(const HttpResponse& response,
                                           ResponseName name,
                                           bool keeps_alive) {
  ++client_.counters_.mismatched_responses;
  ++skipped_responses_;
  is_reusable_ = false;
  const bool is_unnamed = name == ResponseName::kUnnamed;
  if (is_unnamed) {
    unattributed_status_ = response.status;
  }
  if (!keeps_alive ||
      (is_unnamed && request_.unnamed_patience <= Duration(0))) {
    Fail(is_unnamed ? ExchangeFailure::kUnattributed
                    : ExchangeFailure::kMalformed);
    return false;
  }
  if (is_unnamed) {
    StopTimer();
    timer_ = client_.loop_.After(
        std::min(request_.unnamed_patience, request_.timeout),
        [this] { OnTimeOver(ExchangeFailure::kUnattributed); });
  }
  ResetParser();
  return true;
}

void HttpClientConnection::UpdateIdleLimit(const HttpHeaders& headers) {
  if (const auto announced = ParseKeepAliveTimeout(headers)) {
    idle_limit_ = *announced - kIdleExpiryMargin;
  }
}

void HttpClientConnection::Succeed(ExchangeResponse response) {
  const auto self = shared_from_this();
  StopTimer();
  if (!input_.empty()) {
    ReportExtraHead(input_);
  }
  ClearBuffers();
  if (response.lease) {
    response.lease->SetKind(resources::HolderKind::kRunning, {});
    response.lease->Set(response.body.size());
  }
  client_.active_.erase(exchange_);
  exchange_ = 0;
  request_ = {.on_head = std::move(request_.on_head)};
  const ExchangeCallback callback = std::exchange(callback_, nullptr);
  idle_since_ = client_.loop_.Now();
  idle_until_ = idle_since_ + idle_limit_;
  if (is_reusable_ && idle_limit_ > Duration(0)) {
    client_.AddIdle(self);
  } else {
    stream_.Close();
  }
  callback(std::move(response));
}

void HttpClientConnection::Fail(ExchangeFailure failure) {
  const auto self = shared_from_this();
  const ExchangeError error{.failure = failure,
                            .is_proved_unsent = !has_started_sending_,
                            .was_connection_reused = is_reused_,
                            .status = unattributed_status_,
                            .earlier_responses = attribution_.Responses()};
  if (failure == ExchangeFailure::kCannotConnect) {
    ++client_.counters_.connect_failures;
  }
  if (failure == ExchangeFailure::kUnattributed) {
    client_.OnUnnamed(address_);
  }
  const ExchangeCallback callback = std::exchange(callback_, nullptr);
  client_.active_.erase(exchange_);
  Close();
  stream_.DropUnsent();
  if (callback) {
    callback(error);
  }
}

void HttpClientConnection::OnEnd(StreamEnd end) {
  const auto self = shared_from_this();
  if (exchange_ == 0) {
    client_.RemoveIdle(*this);
    return;
  }
  if (end == StreamEnd::kCannotConnect) {
    Fail(ExchangeFailure::kCannotConnect);
    return;
  }
  if (!has_response_bytes_) {
    Fail(ExchangeFailure::kClosed);
    return;
  }
  // A response without an announced length ends with its connection, if that
  // closes in order.
  boost::beast::error_code error;
  if (end == StreamEnd::kClosed && parser_->is_header_done() &&
      parser_->need_eof()) {
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      is_reusable_ = false;
      if (HandleResponse()) {
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
  ClearBuffers();
  stream_.Close();
}

void HttpClientConnection::StopTimer() {
  if (timer_ != 0) {
    client_.loop_.Cancel(std::exchange(timer_, 0));
  }
}

}  // namespace medlarcroft::adapters
