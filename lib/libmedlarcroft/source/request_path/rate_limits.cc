#include "medlarcroft/request_path/rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "medlarcroft/core/mix_bits.h"

namespace medlarcroft::request_path {

namespace {

// Relative change below which a limit is not published early.
constexpr double kUnchangedTolerance = 0.1;
// In requests per second. Lower limits are raised to this value: a target that
// receives no requests cannot declare the end of its limit, and a rate of 0 in
// a report denotes the end of a limit.
constexpr double kMinRate = 0.1;
// Length of the time slot in which a host without a share may send a probe.
constexpr Duration kProbeSlotLength = std::chrono::seconds(1);
// Expiry of a limit is spread over this duration for each known host.
constexpr Duration kExpirySpreadPerHost = std::chrono::seconds(1);
// Upper bound of the random offset of probe slots. Well above the longest
// period of probes, so that the slots of different hosts are spread evenly.
constexpr Duration kMaxProbeOffset = std::chrono::hours(1000);
// A report that a limit has ended is ignored this long after a response that
// declares the limit: the report may have been delayed.
constexpr Duration kDelayedReportWindow = std::chrono::seconds(2);

std::uint64_t OrderOf(std::uint64_t host, TargetNumber target) {
  return MixBits(host ^ MixBits(static_cast<std::uint64_t>(target)));
}

bool IsUnchanged(double left, double right) {
  return std::abs(left - right) <= kUnchangedTolerance * std::max(left, right);
}

}  // namespace

void RateLimits::SetHosts(LimitHosts hosts, MonotonicTime now) {
  if (hosts == hosts_) {
    return;
  }
  hosts_ = std::move(hosts);
  for (auto& [target, limit] : limits_) {
    Refill(limit, now);
    UpdateShare(target, limit);
  }
}

void RateLimits::OnAnswer(TargetNumber target,
                          const RegionName& region,
                          std::optional<double> limit,
                          MonotonicTime sent_at,
                          MonotonicTime now) {
  if (!limit) {
    const auto known = limits_.find(target);
    // A response to a request sent before the last confirmation may be
    // outdated.
    if (known != limits_.end() && sent_at > known->second.confirmed_at) {
      Lift(target);
      lifted_at_[target] = now;
      if (observer_ != nullptr) {
        observer_->OnPublish({.target = target});
      }
    }
    return;
  }
  const double rate = std::max(*limit, kMinRate);
  Limit& known = Update(target, region, rate, now);
  known.answered_at = now;
  if (!IsUnchanged(known.published_rate, rate) ||
      now - known.published_at >= options_.repeat_period) {
    known.published_rate = rate;
    known.published_at = now;
    if (observer_ != nullptr) {
      observer_->OnPublish({.target = target, .requests_per_second = rate});
    }
  }
}

void RateLimits::OnReport(const LimitReport& report,
                          const RegionName& region,
                          MonotonicTime now) {
  if (report.requests_per_second <= 0) {
    const auto known = limits_.find(report.target);
    const bool is_outdated =
        known != limits_.end() && known->second.answered_at &&
        now - *known->second.answered_at < kDelayedReportWindow;
    if (!is_outdated) {
      Lift(report.target);
    }
    return;
  }
  Update(report.target, region, std::max(report.requests_per_second, kMinRate),
         now);
}

bool RateLimits::AllowsSend(TargetNumber target, MonotonicTime now) const {
  if (limits_.empty()) {
    return true;
  }
  const auto found = limits_.find(target);
  if (found == limits_.end()) {
    return true;
  }
  const Limit& limit = found->second;
  return limit.is_sender ? TokensAt(limit, now) >= 1.0
                         : IsInProbeSlot(limit, now);
}

void RateLimits::OnSent(TargetNumber target, MonotonicTime now) {
  const auto found = limits_.find(target);
  if (found != limits_.end()) {
    Refill(found->second, now);
    found->second.tokens = std::max(0.0, found->second.tokens - 1.0);
    found->second.last_sent_at = now;
  }
}

void RateLimits::Advance(MonotonicTime now) {
  std::vector<TargetNumber> expired;
  for (const auto& [target, limit] : limits_) {
    if (now - limit.confirmed_at >= limit.expires_after) {
      expired.push_back(target);
    }
  }
  for (const TargetNumber target : expired) {
    Lift(target);
  }
  std::erase_if(lifted_at_, [&](const auto& lifted) {
    return now - lifted.second >= options_.lift_repeat_duration;
  });
}

std::vector<LimitReport> RateLimits::ReportsToRepeat(MonotonicTime now) const {
  std::vector<LimitReport> reports;
  for (const auto& [target, at] : lifted_at_) {
    if (now - at < options_.lift_repeat_duration) {
      reports.push_back({.target = target});
    }
  }
  return reports;
}

std::optional<double> RateLimits::OwnRate(TargetNumber target) const {
  const auto found = limits_.find(target);
  return found == limits_.end() ? std::nullopt
                                : std::optional(found->second.own_rate);
}

RateLimits::Limit& RateLimits::Update(TargetNumber target,
                                      const RegionName& region,
                                      double requests_per_second,
                                      MonotonicTime now) {
  const auto [found, is_new] = limits_.try_emplace(target);
  Limit& limit = found->second;
  limit.confirmed_at = now;
  lifted_at_.erase(target);
  if (is_new) {
    limit.region = region;
    limit.refilled_at = now;
    const Duration expiry_spread = std::max(
        options_.lifetime / 2, kExpirySpreadPerHost * hosts_.known_hosts);
    limit.expires_after =
        options_.lifetime +
        FromSeconds(ToSeconds(expiry_spread) * random_.NextUnit());
    limit.probe_offset =
        FromSeconds(ToSeconds(kMaxProbeOffset) * random_.NextUnit());
  }
  if (limit.requests_per_second != requests_per_second) {
    Refill(limit, now);
    limit.requests_per_second = requests_per_second;
    UpdateShare(target, limit);
  }
  if (is_new && observer_ != nullptr) {
    observer_->OnLimited(target, requests_per_second, limit.own_rate);
  }
  return limit;
}

void RateLimits::Lift(TargetNumber target) {
  if (limits_.erase(target) > 0 && observer_ != nullptr) {
    observer_->OnLifted(target);
  }
}

void RateLimits::Refill(Limit& limit, MonotonicTime now) const {
  limit.tokens = TokensAt(limit, now);
  limit.refilled_at = now;
}

double RateLimits::TokensAt(const Limit& limit, MonotonicTime now) const {
  const double added = limit.own_rate * ToSeconds(now - limit.refilled_at);
  return std::min(1.0, limit.tokens + added);
}

bool RateLimits::IsInProbeSlot(const Limit& limit, MonotonicTime now) const {
  if (limit.own_rate <= 0) {
    return false;
  }
  const Duration period = FromSeconds(1.0 / limit.own_rate);
  if (limit.last_sent_at && now - *limit.last_sent_at < period) {
    return false;
  }
  return (now.time_since_epoch() + limit.probe_offset) % period <
         kProbeSlotLength;
}

void RateLimits::UpdateShare(TargetNumber target, Limit& limit) const {
  const std::size_t live = hosts_.live_in_region.size();
  const std::size_t known = std::max(live, hosts_.known_in_region);
  const auto senders_in_region = static_cast<std::size_t>(
      std::min(options_.base_senders +
                   options_.senders_per_rps * limit.requests_per_second,
               static_cast<double>(known)));
  const std::size_t senders = senders_in_region * live / known;
  const std::uint64_t own = OrderOf(hosts_.own_hash, target);
  const auto rank = static_cast<std::size_t>(std::ranges::count_if(
      hosts_.live_in_region,
      [&](std::uint64_t host) { return OrderOf(host, target) > own; }));
  const bool was_sender = limit.is_sender;
  limit.is_sender =
      hosts_.has_share && limit.region == hosts_.own_region && rank < senders;
  // Starts at a random level, so that hosts that get a share at the same time
  // do not send their first requests at the same time: each that only probed
  // before has saved up one.
  if (limit.is_sender && !was_sender) {
    limit.tokens = random_.NextUnit();
  }
  const double live_fraction =
      static_cast<double>(live) / static_cast<double>(known);
  limit.own_rate = 0;
  if (limit.is_sender) {
    limit.own_rate = limit.requests_per_second * live_fraction /
                     static_cast<double>(senders);
  } else if (hosts_.has_share) {
    limit.own_rate = options_.probe_fraction * limit.requests_per_second /
                     std::max(hosts_.known_hosts, 1U);
  }
}

}  // namespace medlarcroft::request_path
