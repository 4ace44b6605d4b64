#include "medlarcroft/request_path/helper_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlarcroft::request_path {

namespace {

// A host that is cut off, stops or is paused stays so for a while.
constexpr Duration kAvoidTime = std::chrono::seconds(1);
// Requests that a busy host had in flight end meanwhile.
constexpr Duration kBusyTime = std::chrono::milliseconds(100);
// A host notices within this time that it is cut off, and says so from then on.
constexpr Duration kUnnoticedCutTime = std::chrono::milliseconds(600);
// Of hosts that did not state theirs.
constexpr double kMinLinkMbps = 1;

}  // namespace

void HelperSelector::OnEnd(const RelayHelper& helper,
                           HelperSign sign,
                           MonotonicTime now) {
  if (sign == HelperSign::kWorks) {
    records_.erase(helper.host);
    return;
  }
  Record& record = records_[helper.host];
  record.failure_domain = helper.failure_domain;
  switch (sign) {
    case HelperSign::kWorks:
      break;
    case HelperSign::kMissedTarget:
      record.asked_last_until = now + kUnnoticedCutTime;
      break;
    case HelperSign::kBusy:
      record.avoided_until = std::max(record.avoided_until, now + kBusyTime);
      break;
    case HelperSign::kCutOff:
    case HelperSign::kSilent:
      record.avoided_until = now + kAvoidTime;
      record.cut_off_until = now + kAvoidTime;
      break;
  }
}

void HelperSelector::ForgetExpired(MonotonicTime now) {
  std::erase_if(records_, [now](const auto& entry) {
    const Record& record = entry.second;
    return now >= record.avoided_until && now >= record.cut_off_until &&
           now >= record.asked_last_until;
  });
}

std::optional<int> HelperSelector::RankOf(const RelayHelper& helper,
                                          MonotonicTime now) const {
  const auto own = records_.find(helper.host);
  if (own != records_.end() && now < own->second.avoided_until) {
    return std::nullopt;
  }
  const bool is_asked_last =
      own != records_.end() && now < own->second.asked_last_until;
  // Hosts are often cut off with others of their failure domain.
  const bool is_domain_cut_off =
      std::ranges::any_of(records_, [&](const auto& entry) {
        return now < entry.second.cut_off_until &&
               entry.second.failure_domain == helper.failure_domain;
      });
  return (is_asked_last ? 2 : 0) + (is_domain_cut_off ? 1 : 0);
}

const RelayHelper* HelperSelector::Choose(std::span<const RelayHelper> helpers,
                                          MonotonicTime now) {
  ForgetExpired(now);
  const RelayHelper* chosen = nullptr;
  int best_rank = std::numeric_limits<int>::max();
  double lowest_cost = 0;
  for (const RelayHelper& helper : helpers) {
    const std::optional<int> rank = RankOf(helper, now);
    if (!rank || *rank > best_rank) {
      continue;
    }
    // The lowest of such costs belongs to a helper drawn in proportion to its
    // bandwidth.
    const double cost = -std::log(1.0 - random_.NextUnit()) /
                        std::max(helper.link_mbps, kMinLinkMbps);
    if (chosen == nullptr || *rank < best_rank || cost < lowest_cost) {
      chosen = &helper;
      best_rank = *rank;
      lowest_cost = cost;
    }
  }
  return chosen;
}

}  // namespace medlarcroft::request_path
