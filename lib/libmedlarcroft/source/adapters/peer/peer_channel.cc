#include "adapters/peer/peer_channel.h"

#include <sys/socket.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "adapters/peer/compact_protocol.h"
#include "adapters/peer/wire_conversion.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

using peer_updates::PeerUpdate;

namespace {

using apache::thrift::transport::TMemoryBuffer;
using peer_updates::UpdateRoute;

// A host state without loads takes about a hundred bytes.
constexpr std::size_t kMaxDatagramBytes = 1400;

}  // namespace

std::string EncodePeerUpdate(const PeerUpdate& news) {
  wire::PeerDatagram datagram;
  if (news.state) {
    membership::HostState brief = *news.state;
    brief.loads.clear();
    datagram.__set_state(ToWire(brief));
  }
  datagram.way = static_cast<std::int32_t>(news.way);
  datagram.sender = static_cast<std::int32_t>(news.sender);
  datagram.placed = peer_updates::EncodePlaced(news.placed);
  datagram.loads = peer_updates::EncodeLoads(news.loads);
  datagram.crashes = peer_updates::EncodeCrashes(news.crashes);
  datagram.limits = peer_updates::EncodeLimits(news.limits);
  datagram.heartbeats = membership::EncodeHeartbeats(news.heartbeats);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  datagram.write(MakeCompactProtocol(buffer).get());
  return buffer->getBufferAsString();
}

std::optional<PeerUpdate> DecodePeerUpdate(std::string_view datagram) {
  std::string bytes(datagram);
  const auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(bytes.data()),
      static_cast<std::uint32_t>(bytes.size()));
  wire::PeerDatagram message;
  try {
    message.read(MakeCompactProtocol(buffer).get());
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  auto heartbeats = membership::DecodeHeartbeats(message.heartbeats);
  auto placed = peer_updates::DecodePlaced(message.placed);
  auto loads = peer_updates::DecodeLoads(message.loads);
  auto crashes = peer_updates::DecodeCrashes(message.crashes);
  auto limits = peer_updates::DecodeLimits(message.limits);
  if (!heartbeats || !placed || !loads || !crashes || !limits ||
      message.way < 0 ||
      message.way > static_cast<std::int32_t>(UpdateRoute::kInterRegion)) {
    return std::nullopt;
  }
  PeerUpdate news{.way = static_cast<UpdateRoute>(message.way),
                  .sender = static_cast<std::uint32_t>(message.sender),
                  .placed = std::move(*placed),
                  .loads = std::move(*loads),
                  .crashes = std::move(*crashes),
                  .limits = std::move(*limits),
                  .heartbeats = std::move(*heartbeats)};
  if (message.__isset.state && !message.state.host.empty()) {
    news.state = FromWire(message.state);
  }
  return news;
}

Result<std::unique_ptr<PeerChannel>, PeerChannel::Failure> PeerChannel::Open(
    EventLoop& loop,
    const std::string& address,
    Receiver receiver) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return Failure::kBadAddress;
  }
  const int descriptor = ::socket(parsed->storage.ss_family,
                                  SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0 ||
      ::bind(descriptor, parsed->Get(), parsed->length) != 0) {
    if (descriptor >= 0) {
      ::close(descriptor);
    }
    return Failure::kCannotBind;
  }
  return std::unique_ptr<PeerChannel>(
      new PeerChannel(loop, descriptor, std::move(receiver)));
}

PeerChannel::PeerChannel(EventLoop& loop, int descriptor, Receiver receiver)
    : loop_(loop), descriptor_(descriptor), receiver_(std::move(receiver)) {
  loop_.Watch(descriptor_, *this);
}

PeerChannel::~PeerChannel() {
  loop_.Unwatch(descriptor_);
  ::close(descriptor_);
}

// Made once for all: making it for each would take most of the processor time.
void PeerChannel::Send(std::span<const std::string> addresses,
                       const PeerUpdate& news) {
  if (addresses.empty()) {
    return;
  }
  const std::string datagram = EncodePeerUpdate(news);
  for (const std::string& address : addresses) {
    const auto parsed = ParseSocketAddress(address);
    if (!parsed) {
      continue;
    }
    (void)::sendto(descriptor_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                   parsed->Get(), parsed->length);
  }
}

void PeerChannel::OnReadable() {
  std::array<char, kMaxDatagramBytes> buffer;
  while (true) {
    const ssize_t count =
        ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0) {
      return;
    }
    const auto news =
        DecodePeerUpdate({buffer.data(), static_cast<std::size_t>(count)});
    if (!news) {
      ++malformed_;
      continue;
    }
    receiver_(*news);
  }
}

}  // namespace medlarcroft::adapters
