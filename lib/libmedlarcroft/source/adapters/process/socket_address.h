#ifndef MEDLARCROFT_ADAPTERS_PROCESS_SOCKET_ADDRESS_H_
#define MEDLARCROFT_ADAPTERS_PROCESS_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/steering/client_address.h"

namespace medlarcroft::adapters {

/// @brief An IP address and a port. Host names are never resolved.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  [[nodiscard]] const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
  [[nodiscard]] bool IsIpv6() const { return storage.ss_family == AF_INET6; }
};

/// @param text for example "127.0.0.1:80" or "[::1]:80".
/// @return nullopt when `text` is not an IP address with a port.
[[nodiscard]] std::optional<SocketAddress> ParseSocketAddress(
    std::string_view text);

/// @return the IP address without the port; empty for other address families.
[[nodiscard]] std::string FormatIpAddress(const sockaddr& address);

/// @return the client address, or nullopt when `ip` is not an IP address.
[[nodiscard]] std::optional<steering::ClientAddress> ParseClientAddress(
    std::string_view ip);

/// @return the port, or 0 for address families other than IP.
[[nodiscard]] std::uint16_t PortOf(const sockaddr& address);

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PROCESS_SOCKET_ADDRESS_H_
