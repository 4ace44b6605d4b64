#include "adapters/event/http_listener.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "adapters/event/http_server_connection.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

constexpr int kBacklog = 1024;
// How long a client may read nothing while unsent responses take more than they
// should. A slow client acknowledges something every second.
constexpr Duration kPatienceWithoutRoom = std::chrono::seconds(3);
// Beyond this times what unsent responses should take, patience ends.
constexpr std::size_t kUnsentBytesFactor = 2;

}  // namespace

OwedResponses& OwedResponses::operator+=(const OwedResponses& other) {
  requests += other.requests;
  responses += other.responses;
  given_up += other.given_up;
  bytes += other.bytes;
  return *this;
}

Result<std::unique_ptr<HttpListener>, HttpListener::Failure> HttpListener::Open(
    EventLoop& loop,
    const std::string& address,
    HttpRequestHandler& handler) {
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
      new HttpListener(loop, descriptor, handler));
}

HttpListener::HttpListener(EventLoop& loop,
                           int descriptor,
                           HttpRequestHandler& handler)
    : loop_(loop), handler_(handler), descriptor_(descriptor) {
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

// Guards against a host that runs out of memory since clients don't read: each
// holds a whole response. What slow clients hold is bounded: before the bound
// those lose theirs who read nothing, then new requests are refused, and only
// responses that arrive beyond that cost a client its response.
bool HttpListener::MakeRoom() {
  GiveUpSilentClients(limits_.max_unsent_bytes, kPatienceWithoutRoom);
  return unsent_bytes_ <= limits_.max_unsent_bytes;
}

void HttpListener::OnUnsent(std::size_t before, std::size_t now) {
  unsent_bytes_ += now;
  unsent_bytes_ -= before;
  GiveUpSilentClients(kUnsentBytesFactor * limits_.max_unsent_bytes,
                      Duration(0));
}

void HttpListener::GiveUpSilentClients(std::size_t bytes, Duration patience) {
  while (unsent_bytes_ > bytes) {
    const MonotonicTime now = loop_.Now();
    const auto silent_for = [now](const auto& connection) {
      return connection->UnsentBytes() == 0 ? Duration(-1)
                                            : connection->WithoutProgress(now);
    };
    const auto longest = std::ranges::max_element(connections_, {}, silent_for);
    if (longest == connections_.end() || silent_for(*longest) < patience) {
      return;
    }
    (*longest)->GiveUpForMemory();
  }
}

void HttpListener::StopAccepting() {
  if (descriptor_ < 0) {
    return;
  }
  // Accepts the connections that the kernel has already established; closing
  // the socket would reset them.
  OnReadable();
  loop_.Unwatch(descriptor_);
  ::close(descriptor_);
  descriptor_ = -1;
}

void HttpListener::OnReadable() {
  while (true) {
    const int accepted =
        ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    ++counters_.connections;
    const auto connection =
        std::make_shared<HttpServerConnection>(*this, accepted);
    connections_.insert(connection);
    connection->Start();
  }
}

}  // namespace medlarcroft::adapters
