#ifndef MEDLARCROFT_MEMBERSHIP_HEARTBEAT_H_
#define MEDLARCROFT_MEMBERSHIP_HEARTBEAT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"
#include "medlarcroft/membership/host_state.h"

namespace medlarcroft::membership {

/// @brief Shows that a host is alive, to a receiver that already knows the
/// host. It takes ten bytes, so that one message can contain the heartbeats of
/// all 52 hosts of a domain. With only whole states, of which a message
/// contains a few, half the hosts would be suspect at any time
/// (docs/decisions/membership.md).
struct Heartbeat {
  std::uint32_t host_hash = 0;
  std::uint16_t incarnation_hash = 0;
  std::uint32_t sequence = 0;  ///< Below 2^24.
  Duration age{};              ///< Whole tenths of a second, at most 25.5 s.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

inline constexpr std::size_t kHeartbeatBytes = 10;
inline constexpr std::uint32_t kMaxHeartbeatSequence = (1U << 24U) - 1;
inline constexpr Duration kMaxHeartbeatAge = std::chrono::milliseconds(25'500);

[[nodiscard]] std::uint32_t HashOf(const HostName& host);
[[nodiscard]] std::uint16_t HashOf(std::uint64_t incarnation);

/// @return the heartbeat, or nullopt when its sequence number or age is too
/// large.
[[nodiscard]] std::optional<Heartbeat> MakeHeartbeat(const HostName& host,
                                                     const StateNumber& number,
                                                     Duration age);

/// @return the heartbeat with its age increased by `later`, or nullopt when it
/// is too old.
[[nodiscard]] std::optional<Heartbeat> Aged(const Heartbeat& heartbeat,
                                            Duration later);

/// @return the value of the exchange's `heartbeats` field.
[[nodiscard]] std::string EncodeHeartbeats(
    const std::vector<Heartbeat>& heartbeats);

/// @return the heartbeats, or nullopt when the length is invalid.
[[nodiscard]] std::optional<std::vector<Heartbeat>> DecodeHeartbeats(
    std::string_view bytes);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_HEARTBEAT_H_
