#include "medlarcroft/admission/service_admission.h"

#include <algorithm>
#include <iterator>

namespace medlarcroft::admission {

namespace {

// Part of the demand that the reference level and those above it have at least.
// With less, a few urgent requests would shorten the queues for all others.
constexpr double kReferenceShare = 0.25;
// Requests that fit between the limits of two levels, in a target's queue. The
// estimate of its length is off by about as many.
constexpr double kStepRequests = 3.0;
// Smallest limit of a level, as a fraction of the next more urgent one's.
constexpr double kMinLimitFraction = 0.25;
// A level of which less than this fraction of the mean is admitted gets the
// limit of the reference level, and such an account is not excessive. Twice the
// guaranteed quarter, since the record lags.
constexpr double kStarvedShare = 0.5;
// An account that asks for more than this multiple of its part waits less.
constexpr double kExcessiveDemand = 1.5;
// Fewer requests are no evidence.
constexpr double kMinRequests = 5.0;
// Part of the demand below which a level competes with no other: a few requests
// of a rarely used route change nothing for the rest.
constexpr double kMinLevelShare = 0.05;
// Weight of a new request's useful wait in the mean of its level.
constexpr double kUsefulWaitGain = 0.1;
// Decayed requests of an account below which it is forgotten.
constexpr double kIdleRequests = 0.1;
constexpr Duration kCleanUpPeriod = std::chrono::seconds(5);

}  // namespace

ServiceAdmission::Decision ServiceAdmission::Admit(
    const AdmissionRequest& request,
    Duration wait,
    Duration slot_time,
    MonotonicTime now) {
  const Duration max_wait = MaxWait(request, slot_time, now);
  const Decision decision{.is_admitted = wait <= max_wait,
                          .max_wait = max_wait};
  Record(request, decision.is_admitted, now);
  return decision;
}

Duration ServiceAdmission::MaxWait(const AdmissionRequest& request,
                                   Duration slot_time,
                                   MonotonicTime now) const {
  const double step = kStepRequests * ToSeconds(slot_time);
  double longest = LevelWait(request, step, now);
  if (ExceedsFairShare(request, now)) {
    longest = std::max(longest - step, kMinLimitFraction * longest);
  }
  // A caller that comes back must not be refused while a new one of its level
  // is admitted.
  if (request.is_returning && HasSeveralLevels(now)) {
    longest += step;
  }
  return FromSeconds(longest);
}

double ServiceAdmission::LevelWait(const AdmissionRequest& request,
                                   double step,
                                   MonotonicTime now) const {
  const double useful = ToSeconds(request.useful_wait);
  const auto reference = ReferenceLevel(now);
  if (reference == levels_.end() || request.level == reference->first) {
    return useful;
  }
  double limit = reference->second.useful_wait_seconds;
  if (request.level < reference->first) {
    for (auto level = reference; level != levels_.begin();) {
      --level;
      if (level->first > request.level && !Competes(level->second, now)) {
        continue;
      }
      limit = std::max(level->second.useful_wait_seconds, limit + step);
      if (level->first <= request.level) {
        break;
      }
    }
    return std::max(useful, limit);
  }
  const auto own = levels_.find(request.level);
  if (own != levels_.end() && IsStarved(own->second.demand, now)) {
    return std::min(useful, limit);
  }
  for (auto level = std::next(reference); level != levels_.end(); ++level) {
    if (level->first < request.level && !Competes(level->second, now)) {
      continue;
    }
    limit = std::max(limit - step, kMinLimitFraction * limit);
    if (level->first >= request.level) {
      break;
    }
  }
  return std::min(useful, limit);
}

ServiceAdmission::Levels::const_iterator ServiceAdmission::ReferenceLevel(
    MonotonicTime now) const {
  const double total = total_.Offered(now);
  double offered = 0;
  for (auto level = levels_.begin(); level != levels_.end(); ++level) {
    offered += level->second.demand.Offered(now);
    if (offered >= kReferenceShare * total) {
      return level;
    }
  }
  return levels_.end();
}

bool ServiceAdmission::IsStarved(const DemandRecord& demand,
                                 MonotonicTime now) const {
  return demand.Offered(now) >= kMinRequests &&
         demand.AdmittedShare() < kStarvedShare * total_.AdmittedShare();
}

// Fair share of an account: its quota relative to the quotas of all accounts
// that send requests. Accounts without a quota have none.
bool ServiceAdmission::ExceedsFairShare(const AdmissionRequest& request,
                                        MonotonicTime now) const {
  const auto own = accounts_.find(request.account);
  if (request.quota <= 0 || own == accounts_.end() ||
      own->second.demand.Offered(now) < kMinRequests ||
      IsStarved(own->second.demand, now)) {
    return false;
  }
  const double fair_share = quota_account_demand_.Offered(now) * request.quota /
                            std::max(total_quota_, request.quota);
  return own->second.demand.Offered(now) > kExcessiveDemand * fair_share;
}

bool ServiceAdmission::HasSeveralLevels(MonotonicTime now) const {
  const auto competes = [&](const auto& item) {
    return Competes(item.second, now);
  };
  return std::ranges::count_if(levels_, competes) > 1;
}

bool ServiceAdmission::Competes(const Level& level, MonotonicTime now) const {
  return level.demand.Offered(now) >= kMinLevelShare * total_.Offered(now);
}

Duration ServiceAdmission::RetryAfter(const AdmissionRequest& request,
                                      Duration excess_wait,
                                      Duration longest,
                                      ports::RandomSource& random,
                                      MonotonicTime now) {
  Level& level = levels_[request.level];
  const Duration wait = level.retry_after_pacer.Next(
      now, excess_wait, level.demand.AdmittedPerSecond(now), random);
  if (wait <= longest) {
    return wait;
  }
  return FromSeconds(ToSeconds(longest) * (0.5 + 0.5 * random.NextUnit()));
}

void ServiceAdmission::Record(const AdmissionRequest& request,
                              bool is_admitted,
                              MonotonicTime now) {
  const double useful = ToSeconds(request.useful_wait);
  const auto [found, is_new] = levels_.try_emplace(request.level);
  Level& level = found->second;
  level.useful_wait_seconds =
      is_new ? useful
             : level.useful_wait_seconds +
                   kUsefulWaitGain * (useful - level.useful_wait_seconds);
  level.demand.OnDecision(is_admitted, now);
  total_.OnDecision(is_admitted, now);
  if (request.quota > 0) {
    RecordAccount(request, is_admitted, now);
  }
  EvictIdleAccounts(now);
}

void ServiceAdmission::RecordAccount(const AdmissionRequest& request,
                                     bool is_admitted,
                                     MonotonicTime now) {
  Account& account = accounts_[request.account];
  total_quota_ += request.quota - account.quota;
  account.quota = request.quota;
  account.demand.OnDecision(is_admitted, now);
  quota_account_demand_.OnDecision(is_admitted, now);
}

void ServiceAdmission::EvictIdleAccounts(MonotonicTime now) {
  if (now - cleaned_at_ < kCleanUpPeriod) {
    return;
  }
  cleaned_at_ = now;
  std::erase_if(accounts_, [this, now](const auto& item) {
    const bool is_idle = item.second.demand.Offered(now) < kIdleRequests;
    total_quota_ -= is_idle ? item.second.quota : 0;
    return is_idle;
  });
}

}  // namespace medlarcroft::admission
