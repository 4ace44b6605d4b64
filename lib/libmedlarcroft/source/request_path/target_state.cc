#include "medlarcroft/request_path/target_state.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "medlarcroft/core/mix_bits.h"

namespace medlarcroft::request_path {

namespace {

// Targets remember some tens of objects; beyond those sent lately by one host
// the memory is likely taken by what other hosts send.
constexpr std::size_t kRememberedObjects = 24;
// Other hosts forget an object that nobody names; naming it each time would
// cost a datagram to each of them for every request.
constexpr Duration kTellAgain = std::chrono::seconds(2);
// Other hosts' work changes within about one request's time; older reports
// fade into the mean.
constexpr double kReportFadeSeconds = 0.5;
constexpr double kMeanGain = 0.2;
constexpr double kSpeedGain = 0.15;
constexpr double kSlowest = 12.0;
constexpr double kFastest = 0.4;
// One failure to connect is a restart or a lost packet; a crash shows twice.
constexpr std::uint32_t kFailuresToRest = 2;
// Failure: a target answers at once that it failed, or did not run, whatever it
// is asked. Symptom: it looks free, and draws the requests of others. One that
// fails half of its requests does so eight times in a row once in 256.
constexpr std::uint32_t kBadAnswersToRest = 8;
constexpr Duration kFirstRest = std::chrono::milliseconds(800);
constexpr Duration kLongestRest = std::chrono::seconds(6);
// A bound over one second at the target: sends may arrive closer together than
// they left.
constexpr Duration kColdWindow = std::chrono::milliseconds(1200);

bool IsFailure(AttemptEnd end) {
  return end == AttemptEnd::kNeverSent || end == AttemptEnd::kLost ||
         end == AttemptEnd::kTimedOut;
}

bool IsBadAnswer(AttemptEnd end) {
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
  NoteObject(object);
}

void TargetState::OnSentByOtherHost(ObjectKey object) {
  has_been_used_ = true;
  NoteObject(object);
}

void TargetState::NoteObject(ObjectKey object) {
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
    const double bounded = std::clamp(*relative_time, kFastest, kSlowest);
    relative_time_ += kSpeedGain * (bounded - relative_time_);
  }
  if (IsFailure(end)) {
    if (++failures_in_a_row_ >= kFailuresToRest) {
      Rest(now);
    }
    return;
  }
  failures_in_a_row_ = 0;
  if (IsBadAnswer(end) && ++bad_answers_in_a_row_ >= kBadAnswersToRest) {
    Rest(now);
    return;
  }
  if (!IsBadAnswer(end)) {
    bad_answers_in_a_row_ = 0;
  }
  rest_ = Duration(0);
}

void TargetState::Rest(MonotonicTime now) {
  rest_ = rest_ == Duration(0) ? kFirstRest : std::min(rest_ * 2, kLongestRest);
  resting_until_ = now + rest_;
}

void TargetState::OnAbandoned() {
  outstanding_ -= std::min(outstanding_, 1U);
}

void TargetState::OnReport(const LoadReport& report, MonotonicTime now) {
  // The report was made while the answered request still counted.
  const double total = report.running + report.waiting;
  others_load_ = std::max(0.0, total - outstanding_);
  others_mean_ += kMeanGain * (others_load_ - others_mean_);
  reported_at_ = now;
}

double TargetState::EstimatedLoad(std::optional<double> usual,
                                  double usual_part,
                                  MonotonicTime now) const {
  if (!reported_at_) {
    return outstanding_ + usual.value_or(0.0) * usual_part;
  }
  const double faded =
      std::exp(-ToSeconds(now - *reported_at_) / kReportFadeSeconds);
  const double mean =
      usual ? usual_part * *usual + (1.0 - usual_part) * others_mean_
            : others_mean_;
  return outstanding_ + others_load_ * faded + mean * (1.0 - faded);
}

std::optional<Duration> TargetState::ReportAge(MonotonicTime now) const {
  return reported_at_ ? std::optional(now - *reported_at_) : std::nullopt;
}

bool TargetState::HasHandled(ObjectKey object) const {
  return std::ranges::find(objects_, object, &HandledObject::key) !=
         objects_.end();
}

bool TargetState::IsNews(ObjectKey object, MonotonicTime now) {
  NoteObject(object);
  if (object.IsEmpty() || now - objects_.front().told_at < kTellAgain) {
    return false;
  }
  objects_.front().told_at = now;
  return true;
}

bool TargetState::IsResting(MonotonicTime now) const {
  if (rest_ == Duration(0)) {
    return false;
  }
  return now < resting_until_ || outstanding_ > 0;
}

std::uint32_t TargetState::RecentSends(MonotonicTime now) const {
  const auto first = std::find_if(
      sends_.begin(), sends_.end(),
      [&](MonotonicTime sent) { return now - sent <= kColdWindow; });
  return static_cast<std::uint32_t>(sends_.end() - first);
}

}  // namespace medlarcroft::request_path
