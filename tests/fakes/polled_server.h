#ifndef MEDLARCROFT_TESTS_FAKES_POLLED_SERVER_H_
#define MEDLARCROFT_TESTS_FAKES_POLLED_SERVER_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/process/socket_address.h"
#include "fakes/scripted_server.h"

namespace medlarcroft::fakes {

/// @brief A server without a thread: what it does happens between two turns of
/// the client's loop, while the client does not run.
class PolledServer {
 public:
  PolledServer() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    const auto any = adapters::ParseSocketAddress("127.94.0.1:0");
    (void)::bind(listener_, any->Get(), any->length);
    (void)::listen(listener_, 64);
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    (void)::getsockname(listener_, reinterpret_cast<sockaddr*>(&address),
                        &length);
    address_ = "127.94.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~PolledServer() { ::close(listener_); }
  PolledServer(const PolledServer&) = delete;
  PolledServer& operator=(const PolledServer&) = delete;

  [[nodiscard]] const std::string& Address() const { return address_; }
  [[nodiscard]] std::size_t Connections() const { return peers_.size(); }

  /// @brief Accepts and reads what is there.
  /// @return how many requests it has read and not answered.
  std::size_t Waiting() {
    while (IsReadable(listener_)) {
      const int descriptor = ::accept(listener_, nullptr, nullptr);
      // Otherwise what is sent waits until the client's kernel acknowledges.
      const int enabled = 1;
      (void)::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
                         sizeof(enabled));
      peers_.push_back(
          {.descriptor = descriptor,
           .connection = std::make_unique<ScriptedConnection>(descriptor)});
    }
    std::size_t waiting = 0;
    for (Peer& peer : peers_) {
      if (peer.is_open && IsReadable(peer.descriptor)) {
        const bool has_request = !peer.connection->ReadHead().empty();
        peer.is_open = has_request;
        peer.requests += has_request ? 1 : 0;
      }
      waiting += peer.requests;
    }
    return waiting;
  }
  /// @brief Sends `bytes` for each request that waits.
  void Respond(std::string_view bytes) {
    for (Peer& peer : peers_) {
      for (; peer.requests > 0; --peer.requests) {
        peer.connection->Write(bytes);
      }
    }
  }
  /// @brief Sends `bytes` on each connection, and then closes it if asked to.
  void Interrupt(std::string_view bytes, bool closes) {
    for (Peer& peer : peers_) {
      peer.connection->Write(bytes);
      if (closes) {
        peer.connection->Close();
        peer.is_open = false;
      }
    }
  }

 private:
  struct Peer {
    int descriptor = -1;
    std::unique_ptr<ScriptedConnection> connection;
    std::size_t requests = 0;
    bool is_open = true;
  };

  static bool IsReadable(int descriptor) {
    pollfd ready{.fd = descriptor, .events = POLLIN, .revents = 0};
    return ::poll(&ready, 1, 0) == 1;
  }

  int listener_;
  std::string address_;
  std::vector<Peer> peers_;
};

}  // namespace medlarcroft::fakes

#endif  // MEDLARCROFT_TESTS_FAKES_POLLED_SERVER_H_
