#include "adapters/peer/frame_transport.h"

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/Time_Value.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "adapters/peer/frame.h"
#include "adapters/process/socket_address.h"

namespace medlarcroft::adapters {

namespace {

using apache::thrift::transport::TTransportException;

ACE_Time_Value ToTimeValue(Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return ACE_Time_Value(micros / 1'000'000,
                        static_cast<suseconds_t>(micros % 1'000'000));
}

[[noreturn]] void ThrowLastError(const char* step) {
  const bool is_timeout = errno == ETIME || errno == ETIMEDOUT;
  throw TTransportException(is_timeout ? TTransportException::TIMED_OUT
                                       : TTransportException::NOT_OPEN,
                            step);
}

}  // namespace

FrameTransport::FrameTransport(std::string address,
                               Duration timeout,
                               FrameByteCounters* byte_counters)
    : address_(std::move(address)),
      timeout_(timeout),
      byte_counters_(byte_counters) {}

FrameTransport::~FrameTransport() {
  stream_.close();
}

bool FrameTransport::isOpen() const {
  return stream_.get_handle() != ACE_INVALID_HANDLE;
}

void FrameTransport::open() {
  const auto parsed = ParseSocketAddress(address_);
  ACE_INET_Addr remote;
  if (!parsed) {
    throw TTransportException(TTransportException::BAD_ARGS, "address");
  }
  remote.set_addr(parsed->Get(), static_cast<int>(parsed->length));
  ACE_SOCK_Connector connector;
  const ACE_Time_Value timeout = ToTimeValue(timeout_);
  if (connector.connect(stream_, remote, &timeout) != 0) {
    ThrowLastError("connect");
  }
}

void FrameTransport::close() {
  stream_.close();
}

void FrameTransport::write(const std::uint8_t* buffer, std::uint32_t length) {
  outgoing_.append(reinterpret_cast<const char*>(buffer), length);
}

void FrameTransport::flush() {
  const auto header = EncodeFrameHeader(outgoing_.size());
  outgoing_.insert(0, reinterpret_cast<const char*>(header.data()),
                   header.size());
  const ACE_Time_Value timeout = ToTimeValue(timeout_);
  const ssize_t sent =
      stream_.send_n(outgoing_.data(), outgoing_.size(), &timeout);
  const bool is_complete = sent == static_cast<ssize_t>(outgoing_.size());
  if (is_complete && byte_counters_ != nullptr) {
    byte_counters_->sent += outgoing_.size();
  }
  outgoing_.clear();
  if (!is_complete) {
    ThrowLastError("send");
  }
}

std::uint32_t FrameTransport::read(std::uint8_t* buffer, std::uint32_t length) {
  if (consumed_ == incoming_.size()) {
    ReceiveFrame();
  }
  const std::size_t part =
      std::min<std::size_t>(length, incoming_.size() - consumed_);
  std::memcpy(buffer, incoming_.data() + consumed_, part);
  consumed_ += part;
  return static_cast<std::uint32_t>(part);
}

void FrameTransport::ReceiveFrame() {
  std::array<std::uint8_t, kFrameHeaderBytes> header{};
  Receive(header.data(), header.size());
  const auto size = DecodeFrameHeader(header);
  if (!size) {
    throw TTransportException(TTransportException::CORRUPTED_DATA, "length");
  }
  incoming_.resize(*size);
  consumed_ = 0;
  Receive(incoming_.data(), incoming_.size());
  if (byte_counters_ != nullptr) {
    byte_counters_->received += header.size() + incoming_.size();
  }
}

void FrameTransport::Receive(void* buffer, std::size_t length) {
  const ACE_Time_Value timeout = ToTimeValue(timeout_);
  const ssize_t received_bytes = stream_.recv_n(buffer, length, &timeout);
  if (received_bytes == static_cast<ssize_t>(length)) {
    return;
  }
  if (received_bytes == 0) {
    throw TTransportException(TTransportException::END_OF_FILE, "closed");
  }
  ThrowLastError("receive");
}

}  // namespace medlarcroft::adapters
