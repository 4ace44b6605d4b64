#include "medlarcroft/request_path/target_state.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "medlarcroft/core/mix_bits.h"

namespace medlarcroft::request_path {

namespace {

// Targets keep some tens of objects. Requests from other hosts have likely
// displaced any that this host sent earlier than the most recent ones.
constexpr std::size_t kRememberedObjects = 24;
// Other hosts stop counting on an object that is not announced again.
// Announcing it for each request would cost a datagram to each host per
// request.
constexpr Duration kReannounceInterval = std::chrono::seconds(2);
// The load from other hosts changes within about the duration of one request;
// older reports are gradually replaced by the mean.
constexpr double kReportDecaySeconds = 0.5;
constexpr double kMeanGain = 0.2;
constexpr double kRelativeTimeGain = 0.15;
// Multiple of the learned time above which a single request is no evidence.
constexpr double kLongTimeFactor = 3.0;
constexpr double kMaxRelativeTime = 12.0;
constexpr double kMinRelativeTime = 0.4;
// Ages between which what is known of a slow target is forgotten.
constexpr double kSlowTimeKeptSeconds = 4.0;
constexpr double kSlowTimeLifetimeSeconds = 10.0;
// The load on a target's machine changes several times per second, so a report
// says nothing about it any more after this time.
constexpr double kSlowdownLifetimeSeconds = 0.5;
constexpr double kMinSlowdown = 0.2;
constexpr double kMaxSlowdown = 10.0;
// A single connection failure may be a restart or a lost packet; after a crash
// at least two occur.
constexpr std::uint32_t kFailuresBeforeBackoff = 2;
// A target that responds to every request immediately with a failure, or
// without running it, appears idle and attracts requests that other targets
// would serve; it is backed off after this many in a row. A target that fails
// half of its requests reaches eight consecutive failures only once in 256
// times.
constexpr std::uint32_t kErrorResponsesBeforeBackoff = 8;
// Attempts overtaken by hedged ones, without any answer in between, before
// backoff. A slow target answers some.
constexpr std::uint32_t kOvertakenBeforeBackoff = 4;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(800);
constexpr Duration kMaxBackoff = std::chrono::seconds(6);
// After a rest, a request whose answer takes longer than this does not hold up
// the next one.
constexpr Duration kMaxReturnPause = std::chrono::seconds(1);

bool IsFailure(AttemptEnd end) {
  return end == AttemptEnd::kNeverSent || end == AttemptEnd::kLost ||
         end == AttemptEnd::kTimedOut;
}

bool IsErrorResponse(AttemptEnd end) {
  return end == AttemptEnd::kTargetFailed || end == AttemptEnd::kNotRun;
}

}  // namespace

TargetState::TargetState(TargetRecord record, RegionName region)
    : record_(std::move(record)),
      name_hash_(
          XXH3_64bits(record_.id.Value().data(), record_.id.Value().size())),
      number_(NumberOf(record_.Identity())),
      region_(std::move(region)) {}

std::uint64_t TargetState::OrderOf(ObjectKey object) const {
  return MixBits(name_hash_ ^ MixBits(object.Value()));
}

void TargetState::OnSent(ObjectKey object, MonotonicTime now) {
  ++outstanding_;
  while (!sends_.empty() && now - sends_.front() > kColdWindow) {
    sends_.pop_front();
  }
  sends_.push_back(now);
  has_been_used_ = true;
  RecordObject(object);
}

void TargetState::OnSentByOtherHost(ObjectKey object) {
  has_been_used_ = true;
  RecordObject(object);
}

void TargetState::RecordObject(ObjectKey object) {
  if (object.IsEmpty()) {
    return;
  }
  const auto known = std::ranges::find(objects_, object, &HandledObject::key);
  if (known != objects_.end()) {
    std::rotate(objects_.begin(), known, known + 1);
    return;
  }
  if (objects_.size() >= kRememberedObjects) {
    objects_.pop_back();
  }
  objects_.insert(objects_.begin(), {.key = object});
}

void TargetState::OnEnded(AttemptEnd end,
                          std::optional<double> relative_time,
                          MonotonicTime now) {
  outstanding_ -= std::min(outstanding_, 1U);
  if (relative_time) {
    LearnRelativeTime(*relative_time, now);
  }
  const bool is_failure = IsFailure(end) || IsErrorResponse(end);
  if (IsResting(now)) {
    // The requests that were under way when it asked for rest would count as
    // failures in a row, and back it off for longer than it asked for.
    if (is_failure) {
      return;
    }
  } else if (end == AttemptEnd::kAnswered || end == AttemptEnd::kTargetFailed) {
    has_answered_since_rest_ = true;
  }
  if (IsFailure(end)) {
    if (++consecutive_failures_ >= kFailuresBeforeBackoff) {
      BackOff(now);
    }
    return;
  }
  consecutive_failures_ = 0;
  consecutive_overtaken_ = 0;
  if (IsErrorResponse(end) &&
      ++consecutive_error_responses_ >= kErrorResponsesBeforeBackoff) {
    BackOff(now);
    return;
  }
  if (!IsErrorResponse(end)) {
    consecutive_error_responses_ = 0;
  }
  backoff_ = Duration(0);
}

// A few requests take many times as long as others on any target. One of them
// must not make its target look slow, which would move its objects to targets
// that have to process them anew. A slow target's requests are long in a row.
void TargetState::LearnRelativeTime(double relative_time, MonotonicTime now) {
  relative_time_ = RelativeTime(now);
  relative_time_learned_at_ = now;
  const bool is_long = relative_time > kLongTimeFactor * relative_time_;
  const double largest =
      is_long && !was_last_time_long_ ? relative_time_ : kMaxRelativeTime;
  was_last_time_long_ = is_long;
  const double bounded =
      std::clamp(relative_time, kMinRelativeTime, std::max(largest, 1.0));
  relative_time_ += kRelativeTimeGain * (bounded - relative_time_);
}

// Guards against a target that was slow once and gets no more requests, which
// alone could show that it has recovered, as long as others have room.
double TargetState::RelativeTime(MonotonicTime now) const {
  if (relative_time_ <= 1.0) {
    return relative_time_;
  }
  const double age = ToSeconds(now - relative_time_learned_at_);
  const double weight =
      std::clamp((kSlowTimeLifetimeSeconds - age) /
                     (kSlowTimeLifetimeSeconds - kSlowTimeKeptSeconds),
                 0.0, 1.0);
  return 1.0 + weight * (relative_time_ - 1.0);
}

double TargetState::SlowdownAt(MonotonicTime now) const {
  const double age = std::max(0.0, ToSeconds(now - slowdown_reported_at_));
  const double weight = std::max(0.0, 1.0 - age / kSlowdownLifetimeSeconds);
  return 1.0 + weight * (slowdown_ - 1.0);
}

void TargetState::BackOff(MonotonicTime now) {
  backoff_ = backoff_ == Duration(0) ? kInitialBackoff
                                     : std::min(backoff_ * 2, kMaxBackoff);
  backed_off_until_ = now + backoff_;
}

void TargetState::OnAbandoned() {
  outstanding_ -= std::min(outstanding_, 1U);
}

// Guards against a target that accepts requests and never answers: hedged
// attempts hide its failures, and it would keep its share of the requests.
void TargetState::OnOvertaken(MonotonicTime now) {
  OnAbandoned();
  if (++consecutive_overtaken_ >= kOvertakenBeforeBackoff) {
    BackOff(now);
  }
}

void TargetState::ForgetFailures() {
  consecutive_failures_ = 0;
  consecutive_overtaken_ = 0;
  consecutive_error_responses_ = 0;
  backoff_ = Duration(0);
}

void TargetState::OnReport(const LoadReport& report, MonotonicTime now) {
  // The target counted the request of this response in its report.
  const double total = report.running + report.waiting;
  other_hosts_load_ = std::max(0.0, total - outstanding_);
  other_hosts_mean_load_ +=
      kMeanGain * (other_hosts_load_ - other_hosts_mean_load_);
  reported_at_ = now;
  if (report.slowdown) {
    slowdown_ = std::clamp(*report.slowdown, kMinSlowdown, kMaxSlowdown);
    slowdown_reported_at_ = now;
  }
}

double TargetState::EstimatedLoad(std::optional<double> region_mean,
                                  double region_weight,
                                  MonotonicTime now) const {
  if (!reported_at_) {
    return outstanding_ + region_mean.value_or(0.0) * region_weight;
  }
  const double decayed =
      std::exp(-ToSeconds(now - *reported_at_) / kReportDecaySeconds);
  const double mean = region_mean
                          ? region_weight * *region_mean +
                                (1.0 - region_weight) * other_hosts_mean_load_
                          : other_hosts_mean_load_;
  return outstanding_ + other_hosts_load_ * decayed + mean * (1.0 - decayed);
}

std::optional<Duration> TargetState::ReportAge(MonotonicTime now) const {
  return reported_at_ ? std::optional(now - *reported_at_) : std::nullopt;
}

bool TargetState::HasHandled(ObjectKey object) const {
  return std::ranges::find(objects_, object, &HandledObject::key) !=
         objects_.end();
}

bool TargetState::ShouldAnnounce(ObjectKey object, MonotonicTime now) {
  RecordObject(object);
  if (object.IsEmpty() ||
      now - objects_.front().announced_at < kReannounceInterval) {
    return false;
  }
  objects_.front().announced_at = now;
  return true;
}

bool TargetState::IsBackedOff(MonotonicTime now) const {
  if (backoff_ == Duration(0)) {
    return false;
  }
  return now < backed_off_until_ || outstanding_ > 0;
}

void TargetState::RestUntil(MonotonicTime until) {
  rest_until_ = std::max(rest_until_, until);
  has_answered_since_rest_ = false;
}

// Guards against all requests that a host has kept away during the rest, or
// that prefer this target, reaching it at once. One at a time suffices: it is
// turned away, which starts the next rest, or answered.
bool TargetState::IsReturning(MonotonicTime now) const {
  return !has_answered_since_rest_ && outstanding_ > 0 && !sends_.empty() &&
         now - sends_.back() < kMaxReturnPause;
}

std::uint32_t TargetState::RecentSends(MonotonicTime now) const {
  const auto first = std::find_if(
      sends_.begin(), sends_.end(),
      [&](MonotonicTime sent) { return now - sent <= kColdWindow; });
  return static_cast<std::uint32_t>(sends_.end() - first);
}

}  // namespace medlarcroft::request_path
