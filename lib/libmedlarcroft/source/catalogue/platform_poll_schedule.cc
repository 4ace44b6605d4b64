#include "medlarcroft/catalogue/platform_poll_schedule.h"

#include <algorithm>

namespace medlarcroft::catalogue {

namespace {

// Reads of the host list by all hosts together: of the platform's 2,000.
constexpr double kReadsPerSecond = 176.0;

// A leaving target gets no new work later than 3 s after the list shows it;
// the list is read in the first two of them wherever the platform can bear it.
// A host that also watches the catalogue's head once a second then makes 90 of
// the 100 reads a minute that it may make by default.
constexpr Duration kShortestPeriod = std::chrono::seconds(2);

// At 880 hosts. The list lags by itself, and a target's own sign and an
// operator's word do not come this way.
constexpr Duration kLongestPeriod = std::chrono::seconds(5);

// The first read after a failed one comes in a quarter of the period: within
// the promise when one answer was lost. The third is a whole period later, so
// a platform that is away gets no more reads than one that answers.
constexpr std::uint32_t kQuarters = 4;

}  // namespace

Duration PlatformPollSchedule::TimeUntilNextDue(MonotonicTime now) const {
  const MonotonicTime first = *std::ranges::min_element(due_);
  return std::max(first - now, Duration(0));
}

Duration HostListPollTiming::Period() const {
  const Duration shared =
      FromSeconds(static_cast<double>(entry_hosts_) / kReadsPerSecond);
  return std::clamp(shared, kShortestPeriod, kLongestPeriod);
}

Duration HostListPollTiming::AfterRead(std::size_t entry_hosts) {
  entry_hosts_ = entry_hosts;
  failures_in_row_ = 0;
  return Period();
}

Duration HostListPollTiming::AfterFailure() {
  const std::uint32_t quarters =
      std::min(1U << std::min(failures_in_row_, kQuarters), kQuarters);
  ++failures_in_row_;
  return Period() * quarters / kQuarters;
}

}  // namespace medlarcroft::catalogue
