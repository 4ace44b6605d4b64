#include "medlarcroft/catalogue/platform_poll_schedule.h"

#include <algorithm>

namespace medlarcroft::catalogue {

namespace {

// Maximum host list reads per second by all hosts together, out of the 2,000
// reads per second that the platform handles.
constexpr double kMaxHostListReadsPerSecond = 176.0;

// A leaving target must get no new requests later than 3 s after the host list
// shows it; the list is read within the first 2 s wherever the platform can
// sustain it. A host that also polls the catalogue head once per second then
// makes 90 of the 100 reads per minute that it may make by default.
constexpr Duration kMinPeriod = std::chrono::seconds(2);

// Reached at 880 hosts. The host list itself is delayed, and the status
// reported by a target and the drains set by an operator do not depend on it.
constexpr Duration kMaxPeriod = std::chrono::seconds(5);

// The first retry after a failed read comes after a quarter of the period,
// which is within the 3 s limit if only one response was lost. The third comes
// after a full period, so an unavailable platform gets no more reads than an
// available one.
constexpr std::uint32_t kQuartersPerPeriod = 4;

}  // namespace

Duration PlatformPollSchedule::TimeUntilNextDue(MonotonicTime now) const {
  const MonotonicTime first = *std::ranges::min_element(due_);
  return std::max(first - now, Duration(0));
}

Duration HostListPollTiming::Period() const {
  const Duration shared = FromSeconds(static_cast<double>(entry_hosts_) /
                                      kMaxHostListReadsPerSecond);
  return std::clamp(shared, kMinPeriod, kMaxPeriod);
}

Duration HostListPollTiming::AfterRead(std::size_t entry_hosts) {
  entry_hosts_ = entry_hosts;
  consecutive_failures_ = 0;
  return Period();
}

Duration HostListPollTiming::AfterFailure() {
  const std::uint32_t quarters =
      std::min(1U << std::min(consecutive_failures_, kQuartersPerPeriod),
               kQuartersPerPeriod);
  ++consecutive_failures_;
  return Period() * quarters / kQuartersPerPeriod;
}

}  // namespace medlarcroft::catalogue
