#ifndef MEDLARCROFT_CATALOGUE_PLATFORM_POLL_SCHEDULE_H_
#define MEDLARCROFT_CATALOGUE_PLATFORM_POLL_SCHEDULE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::catalogue {

/// @brief Data that a host polls from the platform independently of its peers.
enum class PlatformPoll { kCatalogueHead, kHostList, kBlockMap };

/// @brief Keeps a separate due time for each poll of the platform.
///
/// Prevents one poll from waiting for another. If the host list were read only
/// together with the catalogue head, it would be read up to one and a quarter
/// head poll periods late, and much later while the head polls back off, so a
/// leaving target would get new requests for longer than allowed. Waiting until
/// the earliest due time of all polls is therefore sufficient.
class PlatformPollSchedule {
 public:
  static constexpr std::size_t kPollCount = 3;

  [[nodiscard]] bool IsDue(PlatformPoll poll, MonotonicTime now) const {
    return now >= due_[Index(poll)];
  }
  void SetDue(PlatformPoll poll, MonotonicTime at) { due_[Index(poll)] = at; }
  /// @return the time until the first poll is due; zero if one is due now.
  [[nodiscard]] Duration TimeUntilNextDue(MonotonicTime now) const;

 private:
  static std::size_t Index(PlatformPoll poll) {
    return static_cast<std::size_t>(poll);
  }

  std::array<MonotonicTime, kPollCount> due_{};
};

/// @brief Computes the interval from one read of the host list to the next.
///
/// Up to 880 hosts read the list. The interval keeps their reads from crowding
/// out reads of the catalogue, and keeps a single failed read from delaying the
/// removal of a leaving target beyond its limit.
class HostListPollTiming {
 public:
  /// @param entry_hosts number of entry hosts in the list that was read.
  [[nodiscard]] Duration AfterRead(std::size_t entry_hosts);
  /// @brief Returns the retry interval after a failed read: short at first,
  /// then growing to the regular interval.
  [[nodiscard]] Duration AfterFailure();

 private:
  [[nodiscard]] Duration Period() const;

  std::size_t entry_hosts_ = 0;
  std::uint32_t consecutive_failures_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_PLATFORM_POLL_SCHEDULE_H_
