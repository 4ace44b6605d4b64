#include "medlarcroft/membership/sharing_hosts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarcroft::membership {

namespace {

// A removed host counts for one to two periods.
constexpr Duration kCountPeriod = std::chrono::minutes(30);
// Growth that a host without a current list allows for.
constexpr double kUnseenGrowth = 1.25;

}  // namespace

std::uint32_t ShareCount::Update(std::uint32_t listed,
                                 bool is_current,
                                 MonotonicTime now) {
  if (now - period_began_at_ >= kCountPeriod) {
    most_in_last_period_ = std::exchange(most_in_period_, 0);
    period_began_at_ = now;
  }
  most_in_period_ = std::max(most_in_period_, std::max(listed, 1U));
  const std::uint32_t most = std::max(most_in_period_, most_in_last_period_);
  return is_current
             ? most
             : static_cast<std::uint32_t>(std::ceil(most * kUnseenGrowth));
}

void SharingHosts::Update(const HostListView& view, MonotonicTime now) {
  if (!view.is_known) {
    return;
  }
  share_.hosts = all_.Update(view.listed, view.is_current, now);
  in_region_ =
      in_own_region_.Update(view.listed_in_region, view.is_current, now);
  counted_since_ = options_.started_at;
  if (view.row_written_at) {
    counted_since_ = *view.row_written_at + options_.in_touch_after;
  }
  share_.known_since = std::max(options_.started_at, *counted_since_);
}

}  // namespace medlarcroft::membership
