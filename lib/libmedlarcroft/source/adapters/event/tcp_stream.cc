#include "adapters/event/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace medlarcroft::adapters {

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// More than a kernel buffers for one connection.
constexpr int kMaxReadsAtOnce = 512;
// Smaller parts of what was sent are not worth a system call.
constexpr std::size_t kMinFreedBytes = std::size_t{256} * 1024;

void SetOption(int descriptor, int level, int name, int value) {
  // Best effort: a kernel that does not support the option works without it.
  (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
}

/// Guards against a peer that becomes unreachable without closing the
/// connection: a device between the two ends loses its connection state, or the
/// peer loses power. Without keepalive probes the connection would stay open,
/// and a request that waits for it would wait forever. The kernel's probes end
/// such a connection, also while no data is sent.
void EnableDeadPeerDetection(int descriptor, Duration limit) {
  const KeepAliveProbes probes = KeepAliveProbesFor(limit);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(ToMilliseconds(limit)));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probes.idle_seconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probes.interval_seconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes.count);
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

}  // namespace

TcpStream::TcpStream(EventLoop& loop, int descriptor, StreamHandler& handler)
    : loop_(loop),
      handler_(handler),
      descriptor_(descriptor),
      is_connected_(true) {
  SetOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
  loop_.Watch(descriptor_, *this);
}

TcpStream::TcpStream(EventLoop& loop,
                     const SocketAddress& address,
                     Duration unacknowledged_timeout,
                     StreamHandler& handler)
    : loop_(loop), handler_(handler) {
  descriptor_ = ::socket(address.storage.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool has_failed = descriptor_ < 0;
  if (!has_failed) {
    SetOption(descriptor_, IPPROTO_TCP, TCP_NODELAY, 1);
    EnableDeadPeerDetection(descriptor_, unacknowledged_timeout);
    has_failed = ::connect(descriptor_, address.Get(), address.length) != 0 &&
                 errno != EINPROGRESS;
  }
  if (has_failed) {
    failure_timer_ = loop_.After(Duration(0), [this] {
      failure_timer_ = 0;
      End(StreamEnd::kCannotConnect);
    });
    return;
  }
  loop_.Watch(descriptor_, *this);
  UpdateInterest();
}

TcpStream::~TcpStream() {
  Close();
}

void TcpStream::Write(std::string bytes) {
  Write(std::make_shared<HeldBytes>(HeldBytes{.bytes = std::move(bytes)}));
}

void TcpStream::Write(std::shared_ptr<HeldBytes> bytes) {
  if (bytes->bytes.empty()) {
    return;
  }
  unsent_bytes_ += bytes->bytes.size();
  unsent_.push_back({.data = std::move(bytes)});
  if (is_connected_) {
    Flush();
  }
}

void TcpStream::FinishWriting() {
  is_finishing_ = true;
  if (is_connected_) {
    Flush();
  }
}

bool TcpStream::HasPeerClosed() const {
  return descriptor_ < 0 || Has(POLLRDHUP);
}

void TcpStream::Close() {
  if (failure_timer_ != 0) {
    loop_.Cancel(failure_timer_);
    failure_timer_ = 0;
  }
  if (descriptor_ < 0) {
    return;
  }
  loop_.Unwatch(descriptor_);
  ::close(descriptor_);
  descriptor_ = -1;
}

void TcpStream::DiscardInput() {
  std::array<char, kReadBytes> buffer;
  for (int i = 0; i < kMaxReadsAtOnce && descriptor_ >= 0; ++i) {
    if (::recv(descriptor_, buffer.data(), buffer.size(), 0) <= 0) {
      return;
    }
  }
}

void TcpStream::CatchUp() {
  const std::weak_ptr<bool> alive = is_alive_;
  if (!is_connected_ && Has(POLLOUT)) {
    CompleteConnect();
  }
  for (int i = 0; i < kMaxReadsAtOnce && !alive.expired() && is_connected_ &&
                  !is_reading_paused_ && Has(POLLIN);
       ++i) {
    OnReadable();
  }
}

bool TcpStream::Has(short events) const {
  pollfd state{.fd = descriptor_, .events = events, .revents = 0};
  return descriptor_ >= 0 && ::poll(&state, 1, 0) > 0;
}

void TcpStream::PauseReading() {
  is_reading_paused_ = true;
  UpdateInterest();
}

void TcpStream::ResumeReading() {
  is_reading_paused_ = false;
  UpdateInterest();
}

std::size_t TcpStream::HeldByUnsent() const {
  std::size_t held = 0;
  for (const Segment& segment : unsent_) {
    held += segment.data->bytes.size() - segment.freed;
  }
  return held;
}

std::size_t TcpStream::UndeliveredBytes() const {
  int queued = 0;
  if (descriptor_ < 0 || ::ioctl(descriptor_, SIOCOUTQ, &queued) != 0) {
    return UnsentBytes();
  }
  return UnsentBytes() + static_cast<std::size_t>(std::max(queued, 0));
}

std::size_t TcpStream::UnreadBytes() const {
  int unread = 0;
  if (descriptor_ < 0 || ::ioctl(descriptor_, FIONREAD, &unread) != 0) {
    return 0;
  }
  return static_cast<std::size_t>(std::max(unread, 0));
}

void TcpStream::OnReadable() {
  if (!is_connected_) {
    CompleteConnect();
    return;
  }
  std::array<char, kReadBytes> buffer;
  const std::weak_ptr<bool> alive = is_alive_;
  const std::size_t room = handler_.RoomToRead(buffer.size());
  if (alive.expired() || room == 0 || descriptor_ < 0) {
    return;
  }
  const ssize_t count = ::recv(descriptor_, buffer.data(), room, 0);
  if (count > 0) {
    handler_.OnBytes({buffer.data(), static_cast<std::size_t>(count)});
    return;
  }
  if (count < 0 && WouldBlock()) {
    return;
  }
  const bool is_orderly = count == 0 && !has_send_failed_;
  End(is_orderly ? StreamEnd::kClosed : StreamEnd::kReset);
}

void TcpStream::OnWritable() {
  if (!is_connected_) {
    CompleteConnect();
    return;
  }
  const std::size_t before = UnsentBytes();
  Flush();
  if (UnsentBytes() < before) {
    handler_.OnSent();
  }
}

void TcpStream::CompleteConnect() {
  int failure = 0;
  socklen_t length = sizeof(failure);
  if (::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failure, &length) != 0 ||
      failure != 0) {
    End(StreamEnd::kCannotConnect);
    return;
  }
  is_connected_ = true;
  const std::weak_ptr<bool> alive = is_alive_;
  handler_.OnConnected();
  if (alive.expired() || !IsOpen()) {
    return;
  }
  Flush();
}

void TcpStream::Flush() {
  if (descriptor_ < 0) {
    return;
  }
  while (!unsent_.empty() && !has_send_failed_) {
    Segment& segment = unsent_.front();
    const std::string& bytes = segment.data->bytes;
    const int more = unsent_.size() > 1 ? MSG_MORE : 0;
    const ssize_t count =
        ::send(descriptor_, bytes.data() + segment.sent,
               bytes.size() - segment.sent, MSG_NOSIGNAL | more);
    if (count < 0) {
      if (!WouldBlock()) {
        OnSendFailed();
      }
      break;
    }
    has_sent_ = true;
    segment.sent += static_cast<std::size_t>(count);
    unsent_bytes_ -= static_cast<std::size_t>(count);
    if (segment.sent == bytes.size()) {
      unsent_.pop_front();
    } else {
      FreeSent(segment);
    }
  }
  UpdateInterest();
  if (is_finishing_ && IsDrained()) {
    ::shutdown(descriptor_, SHUT_WR);
  }
}

// What a slow peer has read must not go on to take memory. Bytes that others
// hold may be sent once more; nobody reads these again.
void TcpStream::FreeSent(Segment& segment) {
  if (segment.sent - segment.freed < kMinFreedBytes ||
      segment.data.use_count() > 1) {
    return;
  }
  const auto page = static_cast<std::uintptr_t>(::sysconf(_SC_PAGESIZE));
  char* const data = segment.data->bytes.data();
  const auto begin = reinterpret_cast<std::uintptr_t>(data) + segment.freed;
  const auto end = reinterpret_cast<std::uintptr_t>(data) + segment.sent;
  const std::uintptr_t first = (begin + page - 1) / page * page;
  const std::uintptr_t last = end / page * page;
  if (first < last) {
    (void)::madvise(data + (first - reinterpret_cast<std::uintptr_t>(data)),
                    last - first, MADV_DONTNEED);
  }
  segment.freed = segment.sent;
}

// Guards against half an answer that looks whole: a send that meets a reset
// takes the error from the socket, and the read after it reports an orderly
// end. So the end of a stream whose send failed is a reset, whatever the read
// says. What the peer sent before is still read: it may be a whole answer.
void TcpStream::OnSendFailed() {
  has_send_failed_ = true;
  // The read must come to an end also after an error that leaves the
  // connection up.
  ::shutdown(descriptor_, SHUT_RDWR);
}

void TcpStream::End(StreamEnd end) {
  Close();
  handler_.OnEnd(end);
}

void TcpStream::UpdateInterest() {
  if (descriptor_ < 0) {
    return;
  }
  const bool wants_read = !is_reading_paused_;
  const bool wants_write =
      !is_connected_ || (UnsentBytes() > 0 && !has_send_failed_);
  if (wants_read != wants_read_ || wants_write != wants_write_) {
    wants_read_ = wants_read;
    wants_write_ = wants_write;
    loop_.SetInterest(descriptor_, wants_read, wants_write);
  }
}

}  // namespace medlarcroft::adapters
