#include "adapters/process/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>

namespace medlarcroft::adapters {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port) {
    return std::nullopt;
  }

  std::string ip(text.substr(0, colon));
  SocketAddress address;
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(*port);
    address.length = sizeof(sockaddr_in6);
    if (inet_pton(AF_INET6, ip.c_str(), &v6->sin6_addr) != 1) {
      return std::nullopt;
    }
    return address;
  }

  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  v4->sin_family = AF_INET;
  v4->sin_port = htons(*port);
  address.length = sizeof(sockaddr_in);
  if (inet_pton(AF_INET, ip.c_str(), &v4->sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

std::string FormatIpAddress(const sockaddr& address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.sa_family == AF_INET) {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
    inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
  } else if (address.sa_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
    inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
  }
  return {text.data()};
}

std::optional<steering::ClientAddress> ParseClientAddress(std::string_view ip) {
  const std::string text(ip);
  std::array<std::uint8_t, 4> v4{};
  if (inet_pton(AF_INET, text.c_str(), v4.data()) == 1) {
    return steering::ClientAddress::FromIpv4(v4);
  }
  std::array<std::uint8_t, 16> v6{};
  if (inet_pton(AF_INET6, text.c_str(), v6.data()) == 1) {
    return steering::ClientAddress::FromIpv6(v6);
  }
  return std::nullopt;
}

std::uint16_t PortOf(const sockaddr& address) {
  if (address.sa_family == AF_INET) {
    return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
  }
  if (address.sa_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return 0;
}

}  // namespace medlarcroft::adapters
