#ifndef MEDLARCROFT_ADAPTERS_EVENT_TCP_STREAM_H_
#define MEDLARCROFT_ADAPTERS_EVENT_TCP_STREAM_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/event/event_loop.h"
#include "adapters/process/socket_address.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief How the other end of a connection went.
enum class StreamEnd {
  kClosed,         ///< In order: all it sent has been read.
  kReset,          ///< Broken off; what it sent last may be missing.
  kCannotConnect,  ///< No connection came about: no byte was sent.
};

/// @brief Hears what a connection brings. A stream may be closed and destroyed
/// from within any of these calls.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Nothing follows.
  virtual void OnEnd(StreamEnd end) = 0;
  /// All that was written has been handed to the kernel.
  virtual void OnDrained() {}
};

/// @brief A TCP connection on an event loop. It never blocks; what the kernel
/// does not take at once is kept and written later.
class TcpStream final : public DescriptorHandler {
 public:
  /// @brief Takes over an accepted descriptor.
  TcpStream(EventLoop& loop, int descriptor, StreamHandler& handler);
  /// @brief Begins to connect; `OnConnected` or `OnEnd` follows, never from
  /// within this call. @param silence_limit closes a connection whose other end
  /// acknowledges nothing for so long (TCP_USER_TIMEOUT).
  TcpStream(EventLoop& loop,
            const SocketAddress& address,
            Duration silence_limit,
            StreamHandler& handler);
  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void Write(std::string_view bytes);
  /// @brief Sends what was written, then closes the sending side.
  void FinishWriting();
  /// @brief Closes at once. Nothing is called any more.
  void Close();

  [[nodiscard]] bool IsOpen() const { return descriptor_ >= 0; }
  [[nodiscard]] bool IsConnected() const { return is_connected_; }
  /// @return whether any byte went to the kernel: before that the other end
  /// can't have seen anything.
  [[nodiscard]] bool HasSent() const { return has_sent_; }
  [[nodiscard]] bool IsDrained() const { return unsent_.empty(); }

  void OnReadable() override;
  void OnWritable() override;

 private:
  void FinishConnecting();
  void Flush();
  void End(StreamEnd end);
  void UpdateInterest();

  EventLoop& loop_;
  StreamHandler& handler_;
  int descriptor_ = -1;
  bool is_connected_ = false;
  bool has_sent_ = false;
  bool is_finishing_ = false;
  bool wants_write_ = false;
  TimerId failure_timer_ = 0;
  std::string unsent_;
  // Lets a call see that its stream was destroyed meanwhile.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_TCP_STREAM_H_
