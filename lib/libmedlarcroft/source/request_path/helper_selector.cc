#include "medlarcroft/request_path/helper_selector.h"

#include <algorithm>
#include <cmath>
#include <tuple>

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
      record.suspected_until = now + kUnnoticedCutTime;
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
           now >= record.suspected_until;
  });
}

const HelperSelector::Record* HelperSelector::Find(
    const RelayHelper& helper) const {
  const auto found = records_.find(helper.host);
  return found == records_.end() ? nullptr : &found->second;
}

// Hosts are often cut off with others of their failure domain.
bool HelperSelector::IsDomainCutOff(const FailureDomainName& domain,
                                    MonotonicTime now) const {
  return std::ranges::any_of(records_, [&](const auto& entry) {
    return now < entry.second.cut_off_until &&
           entry.second.failure_domain == domain;
  });
}

const RelayHelper* HelperSelector::ChooseOf(
    std::span<const RelayHelper> helpers,
    bool is_suspected,
    MonotonicTime now) {
  const RelayHelper* chosen = nullptr;
  bool is_chosen_cut_off = false;
  double lowest_cost = 0;
  for (const RelayHelper& helper : helpers) {
    const Record* const record = Find(helper);
    const bool is_avoided = record != nullptr && now < record->avoided_until;
    const bool is_suspect = record != nullptr && now < record->suspected_until;
    if (is_avoided || is_suspect != is_suspected) {
      continue;
    }
    const bool is_cut_off = IsDomainCutOff(helper.failure_domain, now);
    // The lowest of such costs belongs to a helper drawn in proportion to its
    // bandwidth.
    const double cost = -std::log(1.0 - random_.NextUnit()) /
                        std::max(helper.link_mbps, kMinLinkMbps);
    if (chosen == nullptr ||
        std::tie(is_cut_off, cost) < std::tie(is_chosen_cut_off, lowest_cost)) {
      chosen = &helper;
      is_chosen_cut_off = is_cut_off;
      lowest_cost = cost;
    }
  }
  return chosen;
}

std::optional<RelayHelper> HelperSelector::Choose(
    std::span<const RegionName> regions,
    const FindHelpers& find,
    MonotonicTime now) {
  ForgetExpired(now);
  for (const bool is_suspected : {false, true}) {
    for (const RegionName& region : regions) {
      const std::vector<RelayHelper> helpers = find(region);
      const RelayHelper* const chosen = ChooseOf(helpers, is_suspected, now);
      if (chosen != nullptr) {
        return *chosen;
      }
    }
  }
  return std::nullopt;
}

}  // namespace medlarcroft::request_path
