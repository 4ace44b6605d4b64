#include "adapters/event/http_listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "adapters/event/http_server_connection.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

constexpr int kBacklog = 1024;
// Connections accepted before other events get their turn.
constexpr std::size_t kMaxAcceptedAtOnce = 64;
// Before the next try after the process had no descriptor left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
// Connections that each port gets, whatever the others have.
constexpr std::size_t kReservedConnections = 8;
// By then those that stall have given way, or other hosts have room.
constexpr std::string_view kRetryAfterSeconds = "0.5";

}  // namespace

OwedResponses& OwedResponses::operator+=(const OwedResponses& other) {
  requests += other.requests;
  responses += other.responses;
  given_up += other.given_up;
  unread += other.unread;
  bytes += other.bytes;
  return *this;
}

Result<std::unique_ptr<HttpListener>, HttpListener::Failure> HttpListener::Open(
    EventLoop& loop,
    const std::string& address,
    HttpRequestHandler& handler,
    const ClientResources& resources) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return Failure::kBadAddress;
  }
  const int descriptor = ::socket(
      parsed->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int yes = 1;
  if (descriptor < 0 ||
      ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes)) !=
          0 ||
      ::bind(descriptor, parsed->Get(), parsed->length) != 0 ||
      ::listen(descriptor, kBacklog) != 0) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
    return Failure::kCannotBind;
  }
  return std::unique_ptr<HttpListener>(
      new HttpListener(loop, descriptor, handler, resources));
}

ClientResources ClientResources::Make(EventLoop& loop,
                                      const resources::MemoryLimits& limits,
                                      std::size_t descriptors) {
  return {.memory = std::make_shared<HeldMemory>(loop, limits),
          .connections = std::make_shared<ClientConnections>(
              loop, resources::ConnectionLimit::PartOf(descriptors)),
          .log_budget = std::make_shared<LogBudget>()};
}

void HttpRequestHandler::OnGaveWay(
    const HttpRequest& head,
    const std::shared_ptr<HttpExchange>& exchange) {
  (void)head;
  exchange->Respond(
      {.status = 503,
       .headers = {{"Retry-After", std::string(kRetryAfterSeconds)}}});
}

HttpListener::HttpListener(EventLoop& loop,
                           int descriptor,
                           HttpRequestHandler& handler,
                           ClientResources resources)
    : loop_(loop),
      handler_(handler),
      descriptor_(descriptor),
      resources_(std::move(resources)) {
  sockaddr_storage bound{};
  socklen_t length = sizeof(bound);
  if (::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound),
                    &length) == 0) {
    port_ = PortOf(*reinterpret_cast<const sockaddr*>(&bound));
  }
  loop_.Watch(descriptor_, *this);
}

HttpListener::~HttpListener() {
  StopAccepting();
  const auto open = connections_;
  for (const auto& connection : open) {
    connection->CloseForStop();
  }
}

OwedResponses HttpListener::MeasureOwed() const {
  OwedResponses owed;
  for (const auto& connection : connections_) {
    owed += connection->MeasureOwed();
  }
  return owed;
}

void HttpListener::StopAccepting() {
  if (descriptor_ < 0) {
    return;
  }
  // Accepts the connections that the kernel has already established; closing
  // the socket would reset them.
  while (Accept(kMaxAcceptedAtOnce)) {
  }
  loop_.Cancel(std::exchange(accept_timer_, 0));
  loop_.Unwatch(descriptor_);
  ::close(descriptor_);
  descriptor_ = -1;
}

void HttpListener::OnReadable() {
  (void)Accept(kMaxAcceptedAtOnce);
}

// Guards against a host that has no descriptor left: the event of a connection
// that can't be accepted comes again at once, so the loop would only turn.
bool HttpListener::Accept(std::size_t most) {
  for (std::size_t i = 0; i < most; ++i) {
    const int accepted =
        ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
          errno == ENOMEM) {
        resources_.connections->FreeOne();
        PauseAccepting();
      }
      return false;
    }
    Add(accepted);
  }
  return true;
}

void HttpListener::PauseAccepting() {
  if (accept_timer_ != 0) {
    return;
  }
  loop_.SetInterest(descriptor_, false, false);
  accept_timer_ = loop_.After(kAcceptPause, [this] {
    accept_timer_ = 0;
    loop_.SetInterest(descriptor_, true, false);
  });
}

void HttpListener::Add(int descriptor) {
  ++counters_.connections;
  const auto connection =
      std::make_shared<HttpServerConnection>(*this, descriptor);
  const ClientConnections::Id place = resources_.connections->Add(
      [weak = std::weak_ptr(connection)] {
        const auto open = weak.lock();
        return !open || open->CloseForOthers();
      },
      connections_.size() < kReservedConnections);
  if (place == 0) {
    return;
  }
  connections_.insert(connection);
  connection->Start(place);
}

}  // namespace medlarcroft::adapters
