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

/// Receive buffer size. A host state without loads takes about 100 bytes.
constexpr std::size_t kMaxDatagramBytes = 1400;

}  // namespace

std::string EncodePeerUpdate(const PeerUpdate& update) {
  wire::PeerDatagram datagram;
  if (update.state) {
    membership::HostState state_without_loads = *update.state;
    state_without_loads.loads.clear();
    datagram.__set_state(ToWire(state_without_loads));
  }
  datagram.way = static_cast<std::int32_t>(update.way);
  datagram.sender = static_cast<std::int32_t>(update.sender);
  datagram.placed = peer_updates::EncodePlaced(update.placed);
  datagram.loads = peer_updates::EncodeLoads(update.loads);
  datagram.crashes = peer_updates::EncodeCrashes(update.crashes);
  if (!update.crashes.empty()) {
    datagram.__set_crash_ages(peer_updates::EncodeCrashAges(update.crashes));
  }
  datagram.limits = peer_updates::EncodeLimits(update.limits);
  datagram.heartbeats = membership::EncodeHeartbeats(update.heartbeats);
  if (update.token_request) {
    datagram.__set_token_request(
        quota::EncodeTokenRequest(*update.token_request));
  }
  if (update.token_answer) {
    datagram.__set_token_answer(quota::EncodeTokenAnswer(*update.token_answer));
  }
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
  const bool has_ages = message.__isset.crash_ages;
  if (!heartbeats || !placed || !loads || !crashes || !limits ||
      (has_ages &&
       !peer_updates::ApplyCrashAges(message.crash_ages, *crashes)) ||
      message.way < 0 ||
      message.way > static_cast<std::int32_t>(UpdateRoute::kInterRegion)) {
    return std::nullopt;
  }
  PeerUpdate update{.way = static_cast<UpdateRoute>(message.way),
                    .sender = static_cast<std::uint32_t>(message.sender),
                    .placed = std::move(*placed),
                    .loads = std::move(*loads),
                    .crashes = std::move(*crashes),
                    .limits = std::move(*limits),
                    .heartbeats = std::move(*heartbeats)};
  if (message.__isset.state && !message.state.host.empty()) {
    update.state = FromWire(message.state);
  }
  if (message.__isset.token_request) {
    update.token_request = quota::DecodeTokenRequest(message.token_request);
  }
  if (message.__isset.token_answer) {
    update.token_answer = quota::DecodeTokenAnswer(message.token_answer);
  }
  const bool is_whole =
      message.__isset.token_request == update.token_request.has_value() &&
      message.__isset.token_answer == update.token_answer.has_value();
  return is_whole ? std::optional(std::move(update)) : std::nullopt;
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

// Encodes the datagram once for all addresses: encoding it for each would take
// most of the CPU time.
void PeerChannel::Send(std::span<const std::string> addresses,
                       const PeerUpdate& update) {
  if (addresses.empty()) {
    return;
  }
  const std::string datagram = EncodePeerUpdate(update);
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
    const auto update =
        DecodePeerUpdate({buffer.data(), static_cast<std::size_t>(count)});
    if (!update) {
      ++malformed_;
      continue;
    }
    receiver_(*update);
  }
}

}  // namespace medlarcroft::adapters
