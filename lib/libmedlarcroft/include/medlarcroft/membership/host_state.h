#ifndef MEDLARCROFT_MEMBERSHIP_HOST_STATE_H_
#define MEDLARCROFT_MEMBERSHIP_HOST_STATE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/service_load.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::membership {

enum class HostPhase { kStarting, kReady, kLeaving };

using medlarcroft::ServiceLoad;

/// @brief Low bits of an incarnation, which count the pauses of one process.
inline constexpr unsigned kPauseBits = 10;

/// @return the first incarnation of a process that starts now. It is above all
/// earlier ones of the host unless its wall clock was set back, which
/// `MembershipTable` detects when peers still know the earlier one.
[[nodiscard]] constexpr std::uint64_t FirstIncarnation(WallTime now) {
  return static_cast<std::uint64_t>(ToMilliseconds(now.time_since_epoch()))
         << kPauseBits;
}

/// @return the part that is equal in all incarnations of one process. Keys,
/// seats and loans belong to the process, whose memory survives a pause.
[[nodiscard]] constexpr std::uint64_t ProcessOf(std::uint64_t incarnation) {
  return incarnation >> kPauseBits;
}

/// @brief Orders the statements of a process. A restart, or the end of a pause,
/// begins a new incarnation; within it each statement has the next sequence
/// number.
struct StateNumber {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const StateNumber&, const StateNumber&) = default;
};

/// @brief A host's statement about itself. In an exchange the addresses and
/// loads may be omitted to save bytes; the receiver then keeps those it has.
struct HostState {
  HostName host;
  FailureDomainName failure_domain;
  StateNumber number;
  HostPhase phase = HostPhase::kStarting;
  std::string lookup_address;
  std::string entry_address;
  std::string peer_address;
  std::string share_address;  ///< Address at which its entryd lends slots.
  std::uint64_t catalogue_revision = 0;
  std::vector<ServiceLoad> loads;
  /// Time since the host itself made the statement, by the sender's clock.
  Duration age{};
  /// Failure domain to the seat held or waited for there.
  std::map<FailureDomainName, std::uint32_t> seats;
};

/// @brief Totals of one failure domain, for other domains.
struct DomainSummary {
  FailureDomainName failure_domain;
  HostName reporter;
  StateNumber number;  ///< The reporter's.
  std::vector<ServiceLoad> loads;
  std::uint32_t live_hosts = 0;
  std::uint64_t catalogue_revision = 0;
  Duration age{};
};

/// @brief What one host observed of one target.
struct TargetObservation {
  TargetName target;
  HostName observer;
  /// Grows with each observation, also across a restart of the observer, since
  /// it starts at the wall clock's microseconds.
  std::uint64_t sequence = 0;
  bool is_leaving = false;
  bool is_ejected = false;
  std::uint32_t outstanding = 0;
  Duration latency{};
  Duration age{};
};

/// @return an upper bound of the bytes of a message in Thrift's compact
/// protocol. A test compares it with the generated code.
[[nodiscard]] std::size_t WireBytes(const HostState& state);
[[nodiscard]] std::size_t WireBytes(const DomainSummary& summary);
[[nodiscard]] std::size_t WireBytes(const TargetObservation& observation);

}  // namespace medlarcroft::membership

#endif  // MEDLARCROFT_MEMBERSHIP_HOST_STATE_H_
