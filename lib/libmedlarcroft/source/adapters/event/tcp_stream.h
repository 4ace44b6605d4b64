#ifndef MEDLARCROFT_ADAPTERS_EVENT_TCP_STREAM_H_
#define MEDLARCROFT_ADAPTERS_EVENT_TCP_STREAM_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "adapters/event/event_loop.h"
#include "adapters/event/held_memory.h"
#include "adapters/process/socket_address.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::adapters {

/// @brief Keep-alive probes of a connection, in whole seconds.
struct KeepAliveProbes {
  int idle_seconds = 1;
  int interval_seconds = 1;
  int count = 1;
};

/// @return the probes that end a connection whose peer acknowledges nothing for
/// `limit`. A TCP_USER_TIMEOUT decides when probes give up, whatever their
/// count (tcp(7)), so the count must not state another time.
[[nodiscard]] constexpr KeepAliveProbes KeepAliveProbesFor(Duration limit) {
  KeepAliveProbes probes;
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(limit).count();
  probes.count = std::max(1, (static_cast<int>(seconds) - probes.idle_seconds) /
                                 probes.interval_seconds);
  return probes;
}

/// @brief How a connection ended.
enum class StreamEnd {
  kClosed,         ///< Orderly close by the peer; all its data was read.
  kReset,          ///< Broken; the last data of either side may be lost.
  kCannotConnect,  ///< Not established; no byte was sent.
};

/// @brief Receives the events of a stream. The stream may be closed and
/// destroyed from within any of these callbacks.
class StreamHandler {
 public:
  virtual ~StreamHandler() = default;

  virtual void OnConnected() {}
  /// @return how many bytes may be read now; 0: the handler has paused or ended
  /// the stream.
  [[nodiscard]] virtual std::size_t RoomToRead(std::size_t most) {
    return most;
  }
  virtual void OnBytes(std::string_view bytes) = 0;
  /// The last callback of a stream.
  virtual void OnEnd(StreamEnd end) = 0;
  /// The kernel accepted data that it had not accepted when it was written.
  virtual void OnSent() {}
};

/// @brief A non-blocking TCP connection on an event loop. Data that the kernel
/// does not accept at once is buffered and written later.
class TcpStream final : public DescriptorHandler {
 public:
  /// @brief Takes ownership of an accepted descriptor.
  TcpStream(EventLoop& loop, int descriptor, StreamHandler& handler);
  /// @brief Starts to connect; `OnConnected` or `OnEnd` follows, never from
  /// within this call.
  /// @param unacknowledged_timeout closes the connection when the peer has
  /// acknowledged nothing for this long (TCP_USER_TIMEOUT).
  TcpStream(EventLoop& loop,
            const SocketAddress& address,
            Duration unacknowledged_timeout,
            StreamHandler& handler);
  ~TcpStream() override;
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void Write(std::string bytes);
  /// @brief Writes bytes that others may hold, too. Those that nobody else
  /// holds are freed as they are sent.
  void Write(std::shared_ptr<HeldBytes> bytes);
  /// @brief Closes the sending side once all written data has been sent.
  void FinishWriting();
  /// @brief Closes immediately; no callback follows.
  void Close();
  /// @brief Frees what the kernel has not accepted. To be called after `Close`.
  void DropUnsent() {
    unsent_.clear();
    unsent_bytes_ = 0;
  }
  /// @brief Reads and drops what has arrived: closing with unread data resets
  /// the connection, and the peer loses what it has not received yet.
  void DiscardInput();
  /// @brief Does now what the event loop would: completes the connection, and
  /// reads what has arrived unless reading is paused. To be called before a
  /// timer judges the peer, since the loop may come to the timer first. The
  /// stream may be closed and destroyed meanwhile.
  void CatchUp();
  /// @brief Lets the peer wait with further data.
  void PauseReading();
  void ResumeReading();

  [[nodiscard]] bool IsOpen() const { return descriptor_ >= 0; }
  [[nodiscard]] bool IsConnected() const { return is_connected_; }
  /// @return whether any byte was passed to the kernel; before that the peer
  /// can't have received anything.
  [[nodiscard]] bool HasSent() const { return has_sent_; }
  /// @return whether all written data has been passed to the kernel.
  [[nodiscard]] bool IsDrained() const {
    return UnsentBytes() == 0 && !has_send_failed_;
  }
  /// @return bytes that the kernel has not accepted, also after the end.
  [[nodiscard]] std::size_t UnsentBytes() const { return unsent_bytes_; }
  /// @return what the bytes that the kernel has not accepted take here.
  [[nodiscard]] std::size_t HeldByUnsent() const;
  /// @return bytes that the peer has not acknowledged yet, unsent ones
  /// included.
  [[nodiscard]] std::size_t UndeliveredBytes() const;
  /// @return bytes that have arrived and were not read.
  [[nodiscard]] std::size_t UnreadBytes() const;
  /// @return whether the peer has closed or reset the connection, also while
  /// bytes that it sent before are unread.
  [[nodiscard]] bool HasPeerClosed() const;

  void OnReadable() override;
  void OnWritable() override;

 private:
  void CompleteConnect();
  /// @return whether the kernel reports any of `events` (poll(2)).
  [[nodiscard]] bool Has(short events) const;
  void Flush();
  void OnSendFailed();
  void End(StreamEnd end);
  void UpdateInterest();
  struct Segment {
    std::shared_ptr<HeldBytes> data;
    std::size_t sent = 0;
    std::size_t freed = 0;  ///< Of `sent`, at whole pages.
  };

  /// @brief Frees the memory of what was sent.
  static void FreeSent(Segment& segment);

  EventLoop& loop_;
  StreamHandler& handler_;
  int descriptor_ = -1;
  bool is_connected_ = false;
  bool has_sent_ = false;
  bool has_send_failed_ = false;
  bool is_finishing_ = false;
  bool wants_read_ = true;
  bool wants_write_ = false;
  bool is_reading_paused_ = false;
  TimerId failure_timer_ = 0;
  std::deque<Segment> unsent_;
  std::size_t unsent_bytes_ = 0;
  // Lets a member function detect that a callback destroyed the stream.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_EVENT_TCP_STREAM_H_
