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
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} * 1024;
// What the parser may leave of a line of a body: the size of a chunk with its
// extensions, or trailers.
constexpr std::size_t kMaxLineBytes = std::size_t{64} * 1024;
// Larger bodies are not copied behind the head that is sent before them.
constexpr std::size_t kSeparateBodyBytes = std::size_t{64} * 1024;
// From here on a body of unknown length gets its whole address range, of which
// only the pages that are written take memory: it would be copied each time it
// grows, and held twice meanwhile.
constexpr std::size_t kWholeRangeBytes = std::size_t{64} * 1024;

constexpr std::array<std::string_view, 7> kCloseReasonNames = {
    "client-closed", "broken",      "idle", "no-progress",
    "memory",        "descriptors", "stop"};

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

void HttpServerConnection::Start(ClientConnections::Id place) {
  place_ = place;
  unused_since_ = listener_->loop_.Now();
  WaitForRequest();
}

void HttpServerConnection::OpenLease() {
  if (!lease_) {
    const std::weak_ptr<HttpServerConnection> weak = weak_from_this();
    lease_ = listener_->resources_.memory->Open(
        resources::HolderKind::kRequest,
        {.on_room =
             [weak] {
               if (const auto self = weak.lock()) {
                 self->stream_.ResumeReading();
               }
             },
         .give_way =
             [weak](resources::GiveWayReason reason) {
               if (const auto self = weak.lock()) {
                 self->OnGiveWay(reason);
               }
             }});
  }
}

// Guards against a host that runs out of memory because of what clients send:
// nothing is read for which the account has no room.
std::size_t HttpServerConnection::RoomToRead(std::size_t most) {
  if (phase_ == Phase::kClosing) {
    return most;
  }
  const auto self = shared_from_this();
  OpenLease();
  std::size_t growth = GrowthOf(input_, most);
  if (parser_ && parser_->is_header_done()) {
    growth += GrowthOfBody(
        parser_->get().body(), most,
        parser_->content_length().value_or(listener_->limits_.max_body_bytes));
  }
  // Whoever gives way may end this connection, too.
  const auto lease = lease_;
  const MemoryLease::Room room = lease->Ask(growth);
  if (listener_ == nullptr || phase_ == Phase::kClosing) {
    return 0;
  }
  if (room == MemoryLease::Room::kWait) {
    stream_.PauseReading();
  } else if (room == MemoryLease::Room::kRefused) {
    OnGiveWay(resources::GiveWayReason::kTooLarge);
  }
  return room == MemoryLease::Room::kGranted ? most : 0;
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  if (phase_ == Phase::kClosing) {
    last_input_at_ = listener_->loop_.Now();
    return;
  }
  const auto self = shared_from_this();
  lease_->OnProgress(bytes.size());
  input_.append(bytes);
  if (CanParse()) {
    Parse();
  } else if (input_.size() >= kMaxPipelinedBytes) {
    stream_.PauseReading();
  }
  CountInput();
}

void HttpServerConnection::CountInput() {
  if (!lease_) {
    return;
  }
  std::size_t bytes = input_.capacity();
  if (parser_) {
    bytes += head_bytes_ + parser_->get().body().size();
  }
  if (input_.empty() && !parser_) {
    lease_.reset();
  } else {
    lease_->Set(bytes);
  }
}

void HttpServerConnection::OnGiveWay(resources::GiveWayReason reason) {
  const auto self = shared_from_this();
  if (listener_ == nullptr) {
    return;
  }
  if (phase_ == Phase::kReading) {
    RefuseForOthers(reason);
    return;
  }
  if (IsRequestWaiting()) {
    RefuseForOthers(reason);
    return;
  }
  // What was sent ahead was not read; a request that is served goes on, and its
  // response says that none follows.
  LogGaveWay(resources::NameOf(reason), {});
  std::string().swap(input_);
  lease_.reset();
  if (phase_ == Phase::kServing) {
    keeps_alive_ = false;
    stream_.PauseReading();
  } else {
    Release(CloseReason::kMemory);
  }
}

void HttpServerConnection::RefuseForOthers(resources::GiveWayReason reason) {
  HttpRequest head;
  const bool is_head_done = parser_ && parser_->is_header_done();
  if (is_head_done) {
    head = CopyHead();
  }
  LogGaveWay(resources::NameOf(reason), head);
  parser_.reset();
  std::string().swap(input_);
  lease_.reset();
  phase_ = Phase::kServing;
  delivery_.OnRequest(listener_->loop_.Now());
  listener_->loop_.Cancel(std::exchange(deadline_, 0));
  keeps_alive_ = false;
  is_head_request_ = is_head_done && head.method == "HEAD";
  if (is_head_done) {
    listener_->handler_.OnGaveWay(head, shared_from_this());
  } else {
    listener_->handler_.HttpRequestHandler::OnGaveWay(head, shared_from_this());
  }
}

void HttpServerConnection::LogGaveWay(std::string_view reason,
                                      const HttpRequest& head) {
  LogBudget& budget = *listener_->resources_.log_budget;
  if (!budget.Take(listener_->loop_.Now())) {
    return;
  }
  Log(LogLevel::kWarning, "client-gave-way",
      {{"reason", reason},
       {"request", listener_->handler_.RequestNameOf(head)},
       {"port", listener_->port_},
       {"held_bytes", lease_ ? lease_->Bytes() : 0},
       {"held_bytes_of_all", listener_->resources_.memory->Account().Total()},
       {"connections", listener_->resources_.connections->Size()},
       {"lines_left_out", budget.TakeLeftOut()}});
}

bool HttpServerConnection::CloseForOthers() {
  if (listener_ == nullptr) {
    return true;
  }
  const auto self = shared_from_this();
  const Phase phase = phase_;
  const std::uint64_t requests = requests_;
  stream_.CatchUp();
  if (listener_ == nullptr) {
    return true;
  }
  if (IsRequestWaiting()) {
    SetState(resources::ConnectionState::kServing);
    return false;
  }
  if (phase_ != phase || requests_ != requests) {
    return false;
  }
  LogGaveWay(
      kCloseReasonNames.at(static_cast<std::size_t>(CloseReason::kDescriptors)),
      {});
  Release(CloseReason::kDescriptors);
  return true;
}

void HttpServerConnection::SetState(resources::ConnectionState state) {
  if (listener_ != nullptr) {
    listener_->resources_.connections->SetState(place_, state);
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
  if (std::exchange(is_turn_due_, true)) {
    return;
  }
  listener_->resources_.connections->TakeTurn([self = shared_from_this()] {
    self->is_turn_due_ = false;
    if (self->listener_ != nullptr && self->phase_ == Phase::kIdle &&
        !self->input_.empty() && self->CanParse()) {
      self->stream_.ResumeReading();
      self->Parse();
      self->CountInput();
    }
  });
}

void HttpServerConnection::Parse() {
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kReading;
    keeps_alive_ = true;
    has_handled_header_ = false;
    head_bytes_ = 0;
    SetState(has_served_ ? resources::ConnectionState::kReading
                         : resources::ConnectionState::kHead);
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
  if (!parser_->is_header_done()) {
    return;
  }
  if (!std::exchange(has_handled_header_, true)) {
    head_bytes_ = used;
    if (!OnHead()) {
      return;
    }
  }
  std::string& body = parser_->get().body();
  if (!parser_->content_length() && body.size() >= kWholeRangeBytes) {
    body.reserve(listener_->limits_.max_body_bytes);
  }
}

bool HttpServerConnection::OnHead() {
  HttpRequest head = CopyHead();
  if (!listener_->handler_.NeedsBody(head)) {
    // The rest of the request belongs to nobody.
    parser_.reset();
    std::string().swap(input_);
    keeps_alive_ = false;
    Dispatch(std::move(head));
    return false;
  }
  const auto length = parser_->content_length();
  if (length &&
      *length > listener_->resources_.memory->Account().Limits().Largest()) {
    RefuseForOthers(resources::GiveWayReason::kTooLarge);
    return false;
  }
  SetState(resources::ConnectionState::kReading);
  const auto expectation = parser_->get()[http::field::expect];
  if (boost::beast::iequals(expectation, "100-continue")) {
    stream_.Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  // The head is complete; a body may take as long as an idle period.
  SetDeadline(listener_->limits_.idle_timeout, [this] {
    ++listener_->counters_.timed_out;
    RejectRequest(408);
  });
  return true;
}

std::size_t HttpServerConnection::MaxUnparsedBytes() const {
  return std::max(kMaxLineBytes, listener_->limits_.max_header_bytes);
}

HttpRequest HttpServerConnection::CopyHead() const {
  const auto& message = parser_->get();
  HttpRequest request;
  request.method.assign(message.method_string().data(),
                        message.method_string().size());
  request.raw_target.assign(message.target().data(), message.target().size());
  request.headers = CopyHeaders(message);
  return request;
}

void HttpServerConnection::DispatchRequest() {
  // From here on the request is served, whoever gives way.
  phase_ = Phase::kServing;
  keeps_alive_ = parser_->keep_alive();
  HttpRequest request = CopyHead();
  request.body = std::move(parser_->get().body());
  parser_.reset();
  if (lease_) {
    request.lease = std::move(lease_);
    request.lease->SetKind(resources::HolderKind::kRunning, {});
    request.lease->Set(request.body.size() + head_bytes_);
    if (!input_.empty()) {
      OpenLease();
      lease_->Set(input_.capacity());
    }
  }
  Dispatch(std::move(request));
}

void HttpServerConnection::Dispatch(HttpRequest request) {
  phase_ = Phase::kServing;
  SetState(resources::ConnectionState::kServing);
  delivery_.OnRequest(listener_->loop_.Now());
  listener_->loop_.Cancel(std::exchange(deadline_, 0));
  ++listener_->counters_.requests;
  ++requests_;
  is_head_request_ = request.method == "HEAD";
  listener_->handler_.OnRequest(std::move(request), shared_from_this());
}

void HttpServerConnection::Respond(HttpResponse response) {
  if (phase_ != Phase::kServing || listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  on_client_disconnected_ = nullptr;
  has_served_ = true;
  const bool keeps_alive = keeps_alive_ && !listener_->is_draining_;
  WriteResponse(std::move(response), keeps_alive);
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
    lease_.reset();
    // The lease may have waited for room, and nobody else resumes.
    stream_.ResumeReading();
    return;
  }
  ParseNextSoon();
}

void HttpServerConnection::WriteResponse(HttpResponse response,
                                         bool keeps_alive) {
  const ResponseFraming framing = {.keeps_alive = keeps_alive,
                                   .is_head_request = is_head_request_};
  unused_since_ = listener_->loop_.Now();
  if (response.body.size() < kSeparateBodyBytes || is_head_request_ ||
      HasNoBodyByStatus(response.status)) {
    std::string text = FormatResponse(response, framing);
    delivery_.OnResponse(stream_.UnsentBytes() + text.size(), unused_since_);
    stream_.Write(std::move(text));
    CountUnsent();
    return;
  }
  std::string head = FormatResponseHead(response, framing);
  delivery_.OnResponse(
      stream_.UnsentBytes() + head.size() + response.body.size(),
      unused_since_);
  stream_.Write(std::move(head));
  // From here on the bytes are those of a response that awaits its client.
  unsent_lease_ = std::move(response.lease);
  if (unsent_lease_) {
    unsent_lease_->SetKind(resources::HolderKind::kResponse, UnreadCallbacks());
  }
  stream_.Write(std::make_shared<HeldBytes>(
      HeldBytes{.bytes = std::move(response.body)}));
  CountUnsent();
}

HeldMemory::Callbacks HttpServerConnection::UnreadCallbacks() {
  return {.give_way = [weak = weak_from_this()](resources::GiveWayReason) {
    if (const auto self = weak.lock()) {
      self->Release(CloseReason::kMemory);
    }
  }};
}

void HttpServerConnection::OnSent() {
  const auto self = shared_from_this();
  delivery_.OnProgress(listener_->loop_.Now());
  if (unsent_lease_) {
    unsent_lease_->OnProgress(1);
  }
  CountUnsent();
  if (listener_ == nullptr || !stream_.IsDrained()) {
    return;
  }
  if (phase_ == Phase::kIdle) {
    SetState(resources::ConnectionState::kIdle);
  }
  if (!input_.empty()) {
    ParseNextSoon();
  }
}

bool HttpServerConnection::IsCallerGone() const {
  return listener_ == nullptr || phase_ != Phase::kServing ||
         stream_.HasPeerClosed();
}

void HttpServerConnection::RejectRequest(int status) {
  phase_ = Phase::kServing;
  parser_.reset();
  std::string().swap(input_);
  lease_.reset();
  delivery_.OnRequest(listener_->loop_.Now());
  keeps_alive_ = false;
  is_head_request_ = false;
  Respond({.status = status});
}

void HttpServerConnection::WaitForRequest() {
  phase_ = Phase::kIdle;
  if (has_served_ && stream_.IsDrained()) {
    SetState(resources::ConnectionState::kIdle);
  }
  CheckDeliveryAfter(stream_.IsDrained() ? listener_->limits_.idle_timeout
                                         : kDeliveryCheckPeriod);
}

const delivery::ResponseDelivery& HttpServerConnection::MeasureDelivery() {
  delivery_.OnMeasured(stream_.UndeliveredBytes(), listener_->loop_.Now());
  return delivery_;
}

OwedResponses HttpServerConnection::MeasureOwed() {
  const delivery::ResponseDelivery& delivery = MeasureDelivery();
  OwedResponses owed{.unread = IsRequestWaiting() ? 1U : 0U};
  if (!delivery.IsIdentified()) {
    return owed;
  }
  const bool is_waited_for = delivery.DelaysStop(listener_->loop_.Now());
  owed.bytes = delivery.Undelivered();
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
    if (unsent_lease_ &&
        delivery_.WithoutProgress(now) < kDeliveryCheckPeriod) {
      unsent_lease_->OnProgress(1);
    }
    if (delivery_.WithoutProgress(now) >= patience) {
      Release(CloseReason::kNoProgress);
    } else {
      CheckDeliveryAfter(std::min(kDeliveryCheckPeriod, patience));
    }
    return;
  }
  const Duration time_left = TimeUntilUnused(now);
  if (time_left > Duration(0)) {
    CheckDeliveryAfter(time_left);
  } else if (IsRequestWaiting()) {
    CheckDeliveryAfter(kDeliveryCheckPeriod);
  } else {
    Release(CloseReason::kIdle);
  }
}

bool HttpServerConnection::IsRequestWaiting() const {
  switch (phase_) {
    case Phase::kIdle:
      return !input_.empty() || stream_.UnreadBytes() > 0;
    case Phase::kReading:
      return stream_.UnreadBytes() > 0;
    case Phase::kServing:
    case Phase::kClosing:
      break;
  }
  return false;
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
            connection && connection->listener_ != nullptr &&
            connection->IsStillDue()) {
          task();
        }
      });
}

// Guards against requests that are dropped unread, with no answer: on a host
// that was held up, the time of all connections is over before the loop comes
// to what arrived on them. What arrives after this is not lost by the close:
// the kernel resets the connection, and nothing of it was read.
bool HttpServerConnection::IsStillDue() {
  deadline_ = 0;
  const Phase phase = phase_;
  stream_.CatchUp();
  return listener_ != nullptr && phase_ == phase && deadline_ == 0;
}

void HttpServerConnection::LingerAndClose() {
  phase_ = Phase::kClosing;
  if (stream_.IsDrained()) {
    SetState(resources::ConnectionState::kIdle);
  }
  std::string().swap(input_);
  lease_.reset();
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
  const std::size_t held = stream_.HeldByUnsent();
  if (held == 0) {
    unsent_lease_.reset();
    return;
  }
  if (!unsent_lease_) {
    unsent_lease_ = listener_->resources_.memory->Open(
        resources::HolderKind::kResponse, UnreadCallbacks());
  }
  const auto lease = unsent_lease_;
  lease->Set(held);
}

void HttpServerConnection::LogIfOwing(CloseReason reason) {
  const MonotonicTime now = listener_->loop_.Now();
  const delivery::ResponseDelivery& owed = MeasureDelivery();
  // Others than identified requests are repeated elsewhere, and their callers
  // learn of the end at once.
  const bool is_cut = owed.HasRequest() && owed.IsIdentified() &&
                      (IsOwnDecision(reason) || owed.IsOverdue(now));
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

// Tells a request that a close drops from one that its client takes back: no
// other line says so, since nothing of it was parsed.
void HttpServerConnection::LogIfDropping(CloseReason reason) {
  const std::size_t unread = input_.size() + stream_.UnreadBytes();
  if (unread == 0 || phase_ == Phase::kClosing || !IsOwnDecision(reason)) {
    return;
  }
  ++listener_->counters_.inputs_dropped;
  LogBudget& budget = *listener_->resources_.log_budget;
  const MonotonicTime now = listener_->loop_.Now();
  if (!budget.Take(now)) {
    return;
  }
  Log(LogLevel::kWarning, "input-dropped",
      {{"reason", kCloseReasonNames.at(static_cast<std::size_t>(reason))},
       {"port", listener_->port_},
       {"unread_bytes", unread},
       {"unused_ms", ToMilliseconds(now - unused_since_)},
       {"lines_left_out", budget.TakeLeftOut()}});
}

void HttpServerConnection::Release(CloseReason reason) {
  if (listener_ == nullptr) {
    return;
  }
  const auto self = shared_from_this();
  LogIfOwing(reason);
  LogIfDropping(reason);
  if (phase_ == Phase::kServing && on_client_disconnected_) {
    std::exchange(on_client_disconnected_, nullptr)();
  }
  HttpListener& listener = *std::exchange(listener_, nullptr);
  // What the kernel holds still reaches the client, unless unread input resets
  // the connection. One that reads nothing has been given up. Where nothing is
  // held, the reset tells the client that what it has just sent was not read.
  const bool is_given_up =
      reason == CloseReason::kNoProgress || reason == CloseReason::kMemory;
  if (!is_given_up &&
      (phase_ == Phase::kClosing || delivery_.Undelivered() > 0)) {
    stream_.DiscardInput();
  }
  phase_ = Phase::kClosing;
  stream_.Close();
  stream_.DropUnsent();
  parser_.reset();
  std::string().swap(input_);
  lease_.reset();
  unsent_lease_.reset();
  listener.loop_.Cancel(deadline_);
  listener.resources_.connections->Remove(place_);
  listener.connections_.erase(self);
}

}  // namespace medlarcroft::adapters
