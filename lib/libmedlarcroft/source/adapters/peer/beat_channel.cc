#include "adapters/peer/beat_channel.h"

#include <sys/socket.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "adapters/peer/compact_protocol.h"
#include "adapters/peer/wire_conversion.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

using apache::thrift::transport::TMemoryBuffer;

// A host state without loads takes about a hundred bytes.
constexpr std::size_t kMaxDatagramBytes = 1400;

}  // namespace

std::string EncodeBeat(const membership::HostState& state) {
  membership::HostState brief = state;
  brief.loads.clear();
  const auto buffer = std::make_shared<TMemoryBuffer>();
  ToWire(brief).write(MakeCompactProtocol(buffer).get());
  return buffer->getBufferAsString();
}

std::optional<membership::HostState> DecodeBeat(std::string_view datagram) {
  std::string bytes(datagram);
  const auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(bytes.data()),
      static_cast<std::uint32_t>(bytes.size()));
  wire::HostState state;
  try {
    state.read(MakeCompactProtocol(buffer).get());
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  if (state.host.empty()) {
    return std::nullopt;
  }
  return FromWire(state);
}

Result<std::unique_ptr<BeatChannel>, BeatChannel::Failure> BeatChannel::Open(
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
  return std::unique_ptr<BeatChannel>(
      new BeatChannel(loop, descriptor, std::move(receiver)));
}

BeatChannel::BeatChannel(EventLoop& loop, int descriptor, Receiver receiver)
    : loop_(loop), descriptor_(descriptor), receiver_(std::move(receiver)) {
  loop_.Watch(descriptor_, *this);
}

BeatChannel::~BeatChannel() {
  loop_.Unwatch(descriptor_);
  ::close(descriptor_);
}

bool BeatChannel::Send(const std::string& address,
                       const membership::HostState& state) {
  const auto parsed = ParseSocketAddress(address);
  if (!parsed) {
    return false;
  }
  const std::string datagram = EncodeBeat(state);
  return ::sendto(descriptor_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                  parsed->Get(),
                  parsed->length) == static_cast<ssize_t>(datagram.size());
}

void BeatChannel::OnReadable() {
  std::array<char, kMaxDatagramBytes> buffer;
  while (true) {
    const ssize_t count =
        ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0) {
      return;
    }
    const auto state =
        DecodeBeat({buffer.data(), static_cast<std::size_t>(count)});
    if (!state) {
      ++malformed_;
      continue;
    }
    receiver_(*state);
  }
}

}  // namespace medlarcroft::adapters
