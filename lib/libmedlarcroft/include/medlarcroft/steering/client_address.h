#ifndef MEDLARCROFT_STEERING_CLIENT_ADDRESS_H_
#define MEDLARCROFT_STEERING_CLIENT_ADDRESS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace medlarcroft::steering {

enum class AddressFamily { kIpv4, kIpv6 };

/// @brief The part of a client's address that blocks are matched on: all 32
/// bits of IPv4, or the upper 64 bits of IPv6, whose lower 64 bits identify an
/// interface.
struct ClientAddress {
  AddressFamily family = AddressFamily::kIpv4;
  std::uint64_t bits = 0;  ///< In host byte order.

  /// @param bytes in network byte order, as inet_pton writes them.
  static ClientAddress FromIpv4(std::span<const std::uint8_t, 4> bytes) {
    return {AddressFamily::kIpv4, ReadBigEndian(bytes)};
  }

  /// @param bytes in network byte order. An IPv4-mapped address (::ffff:0:0/96)
  /// is converted to IPv4, because a dual-stack listener reports IPv4 callers
  /// that way.
  static ClientAddress FromIpv6(std::span<const std::uint8_t, 16> bytes) {
    constexpr std::array<std::uint8_t, 12> kMapped = {0, 0, 0, 0, 0,    0,
                                                      0, 0, 0, 0, 0xFF, 0xFF};
    if (std::equal(kMapped.begin(), kMapped.end(), bytes.begin())) {
      return FromIpv4(bytes.last<4>());
    }
    return {AddressFamily::kIpv6, ReadBigEndian(bytes.first<8>())};
  }

  friend bool operator==(const ClientAddress&, const ClientAddress&) = default;

 private:
  static std::uint64_t ReadBigEndian(std::span<const std::uint8_t> bytes) {
    std::uint64_t value = 0;
    for (const std::uint8_t byte : bytes) {
      value = (value << 8U) | byte;
    }
    return value;
  }
};

}  // namespace medlarcroft::steering

#endif  // MEDLARCROFT_STEERING_CLIENT_ADDRESS_H_
