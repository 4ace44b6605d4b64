#ifndef MEDLARCROFT_CATALOGUE_PLATFORM_POLL_SCHEDULE_H_
#define MEDLARCROFT_CATALOGUE_PLATFORM_POLL_SCHEDULE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "medlarcroft/core/time.h"

namespace medlarcroft::catalogue {

/// @brief What a host reads from the platform by itself.
enum class PlatformPoll { kCatalogueHead, kHostList, kBlockMap };

/// @brief When each reading is due. Each has a time of its own.
///
/// Failure: one reading waits for the steps of another. Symptom: the host list
/// is read when the head's next step happens to come, up to a step and a
/// quarter late and much later while the head's calls back off, and a leaving
/// target gets new work past its promise. So the pause ends at whichever is due
/// first.
class PlatformPollSchedule {
 public:
  static constexpr std::size_t kReadings = 3;

  [[nodiscard]] bool IsDue(PlatformPoll reading, MonotonicTime now) const {
    return now >= due_[Index(reading)];
  }
  void SetDue(PlatformPoll reading, MonotonicTime at) {
    due_[Index(reading)] = at;
  }
  /// @return how long until the first reading is due; zero when one is.
  [[nodiscard]] Duration TimeUntilNextDue(MonotonicTime now) const;

 private:
  static std::size_t Index(PlatformPoll reading) {
    return static_cast<std::size_t>(reading);
  }

  std::array<MonotonicTime, kReadings> due_{};
};

/// @brief How long after one read of the host list the next one begins.
///
/// Load: 880 hosts that all read it. Harm prevented: their reads crowd out the
/// catalogue's, and a read that failed once costs a leaving target's promise.
class HostListPollTiming {
 public:
  /// @param entry_hosts in the list that was read.
  [[nodiscard]] Duration AfterRead(std::size_t entry_hosts);
  /// @brief The list could not be had: asked for again sooner at first, then
  /// as rarely as when it can.
  [[nodiscard]] Duration AfterFailure();

 private:
  [[nodiscard]] Duration Period() const;

  std::size_t entry_hosts_ = 0;
  std::uint32_t failures_in_row_ = 0;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_PLATFORM_POLL_SCHEDULE_H_
