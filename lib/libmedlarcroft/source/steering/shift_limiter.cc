#include "medlarcroft/steering/shift_limiter.h"

#include <algorithm>
#include <set>

namespace medlarcroft::steering {

namespace {

/// Fraction of a link's limit that may pass at once; smooths uneven arrivals.
constexpr double kLinkBurstFraction = 0.05;
/// Limit, in requests per second, below which a burst of one and a refill would
/// not fit into one second.
constexpr double kMinBurstLimit = 2.0;
/// Fraction of one second's planned rate that may pass at once.
constexpr double kPlanBurstFraction = 0.25;
/// Tolerance, in tokens, against a token lost to rounding; far below one
/// request per second.
constexpr double kTokenTolerance = 1e-9;
/// Pauses after consecutive refusals: from about a service time, so that a slot
/// may have become free, to a second, by which time a newer plan is in force.
constexpr Duration kMinPause = std::chrono::milliseconds(5);
constexpr Duration kMaxPause = std::chrono::seconds(1);

/// Lets at most `limit` requests through in any half-open second; below 1, one
/// request in 1/limit seconds.
void SetPerSecondLimit(TokenBucket& bucket, double limit, MonotonicTime now) {
  if (limit < kMinBurstLimit) {
    const double burst = limit > 0.0 ? 1.0 : 0.0;
    bucket.Set(burst, std::clamp(limit, 0.0, 1.0), now);
    return;
  }

  const double burst = std::max(1.0, limit * kLinkBurstFraction);
  bucket.Set(burst, limit - burst, now);
}

}  // namespace

std::string_view ToString(ShiftRefusal refusal) {
  constexpr std::string_view kNames[] = {"not-planned", "planned-rate",
                                         "link-capacity", "receiver-full"};
  return kNames[static_cast<std::size_t>(refusal)];
}

void TokenBucket::Refill(MonotonicTime now) {
  const double elapsed = ToSeconds(now - refilled_at_);
  refilled_at_ = now;
  tokens_ = std::min(burst_, tokens_ + elapsed * refill_per_second_);
}

void TokenBucket::Set(double burst, double refill, MonotonicTime now) {
  Refill(now);
  burst_ = burst;
  refill_per_second_ = refill;
  tokens_ = std::min(tokens_, burst_);
}

bool TokenBucket::HasToken(MonotonicTime now) {
  Refill(now);
  return tokens_ >= 1.0 - kTokenTolerance;
}

void ShiftLimiter::Update(std::span<const LinkAllowance> links,
                          std::span<const ShiftAllowance> shifts) {
  const MonotonicTime now = clock_->Now();
  std::set<FailureDomainName> listed_links;
  std::set<Key> listed_shifts;

  for (const LinkAllowance& link : links) {
    SetPerSecondLimit(links_[link.to], link.capacity_share, now);
    listed_links.insert(link.to);
  }

  for (const ShiftAllowance& allowance : shifts) {
    const Key key{allowance.service, allowance.to};
    Shift& shift = shifts_[key];
    shift.rate = allowance.rate;
    shift.bucket.Set(std::max(1.0, allowance.rate * kPlanBurstFraction),
                     allowance.rate, now);
    listed_shifts.insert(key);
  }

  std::erase_if(links_, [&](const auto& item) {
    return !listed_links.contains(item.first);
  });
  std::erase_if(shifts_, [&](const auto& item) {
    return !listed_shifts.contains(item.first);
  });
}

Result<Success, ShiftRefusal> ShiftLimiter::TryForward(
    const ServiceName& service,
    const FailureDomainName& to) {
  const MonotonicTime now = clock_->Now();
  const auto shift = shifts_.find({service, to});
  const auto link = links_.find(to);

  const bool is_planned = shift != shifts_.end() && link != links_.end() &&
                          shift->second.rate > 0.0;
  if (!is_planned) {
    return ShiftRefusal::kNotPlanned;
  }

  if (now < shift->second.paused_until) {
    return ShiftRefusal::kReceiverFull;
  }

  if (!shift->second.bucket.HasToken(now)) {
    return ShiftRefusal::kPlannedRate;
  }

  if (!link->second.HasToken(now)) {
    return ShiftRefusal::kLinkCapacity;
  }

  shift->second.bucket.TakeToken();
  link->second.TakeToken();
  return Success{};
}

void ShiftLimiter::OnAnswer(const ServiceName& service,
                            const FailureDomainName& to,
                            bool is_accepted) {
  const auto found = shifts_.find({service, to});
  if (found == shifts_.end()) {
    return;
  }

  Shift& shift = found->second;
  if (is_accepted) {
    shift.pause = Duration::zero();
    return;
  }

  shift.pause = std::clamp(2 * shift.pause, kMinPause, kMaxPause);
  shift.paused_until = clock_->Now() + shift.pause;
}

}  // namespace medlarcroft::steering
