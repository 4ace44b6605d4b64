#ifndef MEDLARCROFT_ADAPTERS_PEER_FRAME_TRANSPORT_H_
#define MEDLARCROFT_ADAPTERS_PEER_FRAME_TRANSPORT_H_

#include <ace/SOCK_Stream.h>
#include <thrift/transport/TVirtualTransport.h>

#include <atomic>
#include <cstdint>
#include <string>

#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Bytes of frames sent and received by a client, including frame
/// headers but no TCP or IP headers.
struct FrameByteCounters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> received{0};
};

/// @brief Thrift client transport over an ACE socket. Each message is one
/// frame, and each operation has a timeout, so that an unresponsive peer blocks
/// the caller for a limited time only.
class FrameTransport final
    : public apache::thrift::transport::TVirtualTransport<FrameTransport> {
 public:
  /// @param address IP:port.
  /// @param timeout limit of each connect, send and receive operation.
  /// @param byte_counters may be null; must otherwise outlive the transport.
  FrameTransport(std::string address,
                 Duration timeout,
                 FrameByteCounters* byte_counters = nullptr);
  ~FrameTransport() override;
  FrameTransport(const FrameTransport&) = delete;
  FrameTransport& operator=(const FrameTransport&) = delete;

  [[nodiscard]] bool isOpen() const override;
  void open() override;
  void close() override;
  void flush() override;

  // Called by TVirtualTransport, which prescribes the names.
  std::uint32_t read(std::uint8_t* buffer, std::uint32_t length);
  void write(const std::uint8_t* buffer, std::uint32_t length);

 private:
  void ReceiveFrame();
  void Receive(void* buffer, std::size_t length);

  const std::string address_;
  const Duration timeout_;
  FrameByteCounters* const byte_counters_;
  ACE_SOCK_Stream stream_;
  std::string outgoing_;
  std::string incoming_;
  std::size_t consumed_ = 0;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_FRAME_TRANSPORT_H_
