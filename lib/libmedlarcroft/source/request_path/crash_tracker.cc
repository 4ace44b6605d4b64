#include "medlarcroft/request_path/crash_tracker.h"

#include <algorithm>
#include <utility>

namespace medlarcroft::request_path {

namespace {

constexpr std::size_t kMaxAnswers = 4096;
// Rate limit per request for reports to hosts that still send a blocked request
// or report a crash for a request that got a response here.
constexpr Duration kMinPublishInterval = std::chrono::seconds(1);

Duration InWholeSeconds(Duration duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration);
}

}  // namespace

std::optional<Duration> CrashTracker::BlockedFor(RequestFingerprint request,
                                                 MonotonicTime now) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  if (entry.blocked_until) {
    return now < *entry.blocked_until
               ? std::optional<Duration>(*entry.blocked_until - now)
               : std::nullopt;
  }
  if (IsBlockDue(entry, now)) {
    return options_.block_duration;
  }
  const std::optional<MonotonicTime> held_until = HeldUntil(entry, now);
  return held_until ? std::optional<Duration>(*held_until - now) : std::nullopt;
}

void CrashTracker::OnCrash(RequestFingerprint request,
                           TargetNumber target,
                           MonotonicTime now,
                           Duration age) {
  if (request.IsEmpty()) {
    OnTargetEnded(target, now, age);
    return;
  }
  Entry& entry = EntryOf(request);
  entry.own_crashes.push_back({.target = target, .at = now - age});
  Publish({.kind = CrashReportKind::kCrashed,
           .request = request,
           .target = target,
           .age = age});
  Count(request, entry, {.target = target, .at = now - age}, now);
}

void CrashTracker::OnTargetEnded(TargetNumber target,
                                 MonotonicTime now,
                                 Duration age) {
  if (!ended_targets_.Contains(target)) {
    Publish({.kind = CrashReportKind::kCrashed, .target = target, .age = age});
  }
  ended_targets_.Add(target, now - age);
}

void CrashTracker::OnAnswered(RequestFingerprint request, MonotonicTime now) {
  if (request.IsEmpty()) {
    return;
  }
  answers_.push_back({.request = request, .at = now});
  while (answers_.size() > kMaxAnswers ||
         now - answers_.front().at >= options_.answer_lifetime) {
    answers_.pop_front();
  }
  if (entries_.contains(request)) {
    Clear(request);
    Publish({.kind = CrashReportKind::kAnswered, .request = request});
  }
}

void CrashTracker::OnReport(const CrashReport& report, MonotonicTime now) {
  if (report.kind == CrashReportKind::kCrashed) {
    ended_targets_.Add(report.target, now - report.age);
  }
  if (report.request.IsEmpty()) {
    return;
  }
  switch (report.kind) {
    case CrashReportKind::kCrashed:
      if (!ReportRecentAnswer(report.request, now)) {
        Count(report.request, EntryOf(report.request),
              {.target = report.target, .at = now - report.age}, now);
      }
      break;
    case CrashReportKind::kAnswered:
      Clear(report.request);
      break;
    case CrashReportKind::kBlocked:
      Block(report.request, EntryOf(report.request),
            std::min(report.blocked_for, options_.block_duration), now);
      break;
  }
}

void CrashTracker::Unblock(RequestFingerprint request) {
  Clear(request);
}

void CrashTracker::Advance(MonotonicTime now) {
  for (auto& [request, entry] : entries_) {
    Decide(request, entry, now);
  }
  KeepFinalWeights(now);
  ended_targets_.Advance(now);
  std::erase_if(entries_, [&](const auto& kept) {
    const Entry& entry = kept.second;
    return entry.blocked_until
               ? now >= *entry.blocked_until
               : now - entry.crashed_at >= options_.crash_lifetime;
  });
}

std::vector<CrashReport> CrashTracker::ReportsToRepeat(std::size_t max_reports,
                                                       MonotonicTime now) {
  std::vector<CrashReport> reports;
  for (const auto& [request, entry] : entries_) {
    if (entry.own_crashes.empty()) {
      continue;
    }
    if (entry.blocked_until && now < *entry.blocked_until) {
      reports.push_back(
          {.kind = CrashReportKind::kBlocked,
           .request = request,
           .blocked_for = InWholeSeconds(*entry.blocked_until - now)});
      continue;
    }
    for (const OwnCrash& crash : entry.own_crashes) {
      if (now - crash.at < options_.repeat_duration) {
        reports.push_back({.kind = CrashReportKind::kCrashed,
                           .request = request,
                           .target = crash.target,
                           .age = now - crash.at});
      }
    }
  }
  if (reports.size() > max_reports) {
    next_repeat_index_ %= reports.size();
    std::rotate(
        reports.begin(),
        reports.begin() + static_cast<std::ptrdiff_t>(next_repeat_index_),
        reports.end());
    reports.resize(max_reports);
    next_repeat_index_ += max_reports;
  }
  return reports;
}

std::size_t CrashTracker::CrashesOf(RequestFingerprint request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? 0 : found->second.crashes.size();
}

std::size_t CrashTracker::BlockedRequests() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      entries_,
      [](const auto& kept) { return kept.second.blocked_until.has_value(); }));
}

CrashTracker::Entry& CrashTracker::EntryOf(RequestFingerprint request) {
  const auto known = entries_.find(request);
  if (known != entries_.end()) {
    return known->second;
  }
  if (entries_.size() >= options_.max_requests) {
    EvictOldest();
  }
  return entries_[request];
}

void CrashTracker::Count(RequestFingerprint request,
                         Entry& entry,
                         const Crash& crash,
                         MonotonicTime now) {
  entry.crashed_at = now;
  const MonotonicTime ended_at = ended_targets_.Add(crash.target, crash.at);
  if (!HasCrashed(entry, crash.target)) {
    entry.crashes.push_back({.target = crash.target, .at = ended_at});
  }
  if (entry.blocked_until) {
    // The reporting host still sends the request: it missed the block.
    if (!entry.own_crashes.empty() &&
        now - entry.block_published_at >= kMinPublishInterval) {
      entry.block_published_at = now;
      Publish({.kind = CrashReportKind::kBlocked,
               .request = request,
               .blocked_for = InWholeSeconds(*entry.blocked_until - now)});
    }
    return;
  }
  Decide(request, entry, now);
}

void CrashTracker::Block(RequestFingerprint request,
                         Entry& entry,
                         Duration blocked_for,
                         MonotonicTime now) {
  entry.crashed_at = now;
  if (entry.blocked_until) {
    return;
  }
  entry.blocked_until = now + blocked_for;
  const bool is_own = !entry.own_crashes.empty();
  if (observer_ != nullptr) {
    observer_->OnBlocked(request, blocked_for, is_own);
  }
  if (is_own) {
    entry.block_published_at = now;
    Publish({.kind = CrashReportKind::kBlocked,
             .request = request,
             .blocked_for = InWholeSeconds(blocked_for)});
  }
}

bool CrashTracker::ReportRecentAnswer(RequestFingerprint request,
                                      MonotonicTime now) {
  const auto answered = std::find_if(
      answers_.rbegin(), answers_.rend(), [&](const Answer& answer) {
        return answer.request == request &&
               now - answer.at < options_.answer_lifetime;
      });
  if (answered == answers_.rend()) {
    return false;
  }
  if (now - answered->published_at >= kMinPublishInterval) {
    answered->published_at = now;
    Publish({.kind = CrashReportKind::kAnswered, .request = request});
  }
  return true;
}

void CrashTracker::Clear(RequestFingerprint request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return;
  }
  const bool was_blocked = found->second.blocked_until.has_value();
  entries_.erase(found);
  if (was_blocked && observer_ != nullptr) {
    observer_->OnUnblocked(request);
  }
}

void CrashTracker::EvictOldest() {
  // Requests that are not blocked sort first.
  const auto oldest =
      std::ranges::min_element(entries_, {}, [](const auto& kept) {
        return std::pair(kept.second.blocked_until.has_value(),
                         kept.second.crashed_at);
      });
  entries_.erase(oldest);
}

void CrashTracker::Publish(const CrashReport& report) {
  if (observer_ != nullptr) {
    observer_->OnPublish(report);
  }
}

}  // namespace medlarcroft::request_path
