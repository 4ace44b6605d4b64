#ifndef MEDLARCROFT_TESTS_FAKES_SLOW_CLIENT_H_
#define MEDLARCROFT_TESTS_FAKES_SLOW_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "adapters/process/socket_address.h"

namespace medlarcroft::fakes {

/// @brief A client that reads only what the test asks for. Its segments are
/// those of a network, its buffers small and its address new: loopback's
/// segments and what the kernel remembers of an address make its buffers large
/// enough for a whole response, which hides what becomes of the rest.
class SlowClient {
 public:
  explicit SlowClient(std::uint16_t port)
      : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    SetOption(IPPROTO_TCP, TCP_MAXSEG, kSegmentBytes);
    SetOption(SOL_SOCKET, SO_RCVBUF, kReceiveBufferBytes);
    // The kernel remembers how fast an address was, and sizes buffers by that.
    std::random_device random;
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr =
        htonl(0x7f5a0000U + (random() % 160U << 16U) + 1 + random() % 65000U);
    (void)::bind(descriptor_, reinterpret_cast<sockaddr*>(&own), sizeof(own));
    const auto address =
        adapters::ParseSocketAddress("127.0.0.1:" + std::to_string(port));
    (void)::connect(descriptor_, address->Get(), address->length);
  }
  ~SlowClient() { Reset(); }
  SlowClient(const SlowClient&) = delete;
  SlowClient& operator=(const SlowClient&) = delete;

  /// @return whether the server took everything.
  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t count =
          ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  /// @brief Reads up to `bytes`.
  /// @return false at the end of the connection.
  bool Read(std::size_t bytes) {
    std::string buffer(bytes, 0);
    const ssize_t count = ::recv(descriptor_, buffer.data(), bytes, 0);
    if (count <= 0) {
      return false;
    }
    received.append(buffer, 0, static_cast<std::size_t>(count));
    return true;
  }
  void ReadUntil(std::string_view end) {
    while (received.find(end) == std::string::npos && Read(65536)) {
    }
  }

  /// @brief Closes with unread data, which resets the connection.
  void Reset() { ::close(std::exchange(descriptor_, -1)); }

  std::string received;

 private:
  static constexpr int kSegmentBytes = 1460;
  static constexpr int kReceiveBufferBytes = 16 * 1024;

  void SetOption(int level, int name, int value) const {
    ::setsockopt(descriptor_, level, name, &value, sizeof(value));
  }

  int descriptor_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_SLOW_CLIENT_H_
