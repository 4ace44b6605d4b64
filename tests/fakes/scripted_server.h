#ifndef MEDLARCROFT_TESTS_FAKES_SCRIPTED_SERVER_H_
#define MEDLARCROFT_TESTS_FAKES_SCRIPTED_SERVER_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace medlarcroft::fakes {

/// @brief One accepted connection, for a script that controls exactly which
/// bytes are sent when. The destructor closes it.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(int descriptor) : descriptor_(descriptor) {}
  ~ScriptedConnection() { Close(); }
  ScriptedConnection(const ScriptedConnection&) = delete;
  ScriptedConnection& operator=(const ScriptedConnection&) = delete;

  /// @return the received bytes up to and including `end`, or fewer if the peer
  /// closed the connection.
  std::string ReadUntil(std::string_view end) {
    std::array<char, 4096> buffer;
    while (received_.find(end) == std::string::npos) {
      const ssize_t count =
          ::recv(descriptor_, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return std::exchange(received_, {});
      }
      received_.append(buffer.data(), static_cast<std::size_t>(count));
    }
    const std::size_t length = received_.find(end) + end.size();
    std::string text = received_.substr(0, length);
    received_.erase(0, length);
    return text;
  }
  std::string ReadHead() { return ReadUntil("\r\n\r\n"); }
  /// @brief Waits until the peer closes the connection.
  /// @return always true.
  bool WaitForClose() {
    ReadUntil("never sent");
    return true;
  }
  void Write(std::string_view bytes) {
    (void)::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  void Close() {
    if (descriptor_ >= 0) {
      ::close(std::exchange(descriptor_, -1));
    }
  }
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }

 private:
  int descriptor_;
  std::string received_;
};

/// @brief A server on the loopback interface that runs a script for each
/// connection, sequentially.
class ScriptedServer {
 public:
  /// @param script is called with the connection and its number, starting at 1.
  using Script = std::function<void(ScriptedConnection&, int number)>;

  explicit ScriptedServer(Script script) : script_(std::move(script)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(listener_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address));
    (void)::listen(listener_, 16);
    socklen_t length = sizeof(address);
    (void)::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                        &length);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~ScriptedServer() {
    is_stopping_ = true;
    thread_.join();
    ::close(listener_);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(port_);
  }
  [[nodiscard]] int Connections() const { return connections_; }

 private:
  void Serve() {
    while (!is_stopping_) {
      pollfd ready{.fd = listener_, .events = POLLIN, .revents = 0};
      if (::poll(&ready, 1, 20) != 1) {
        continue;
      }
      ScriptedConnection connection(::accept(listener_, nullptr, nullptr));
      script_(connection, ++connections_);
    }
  }

  Script script_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_SCRIPTED_SERVER_H_
