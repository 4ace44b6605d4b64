#include "medlarcroft/peer_updates/update_queue.h"

#include <algorithm>

namespace medlarcroft::peer_updates {

namespace {

// Targets keep an object for longer, and a datagram may be lost.
constexpr Duration kPlacedTellAgain = std::chrono::seconds(2);
// A load that has hardly changed since is told this much later all the same.
constexpr Duration kLoadTellAgain = std::chrono::milliseconds(800);
constexpr std::uint32_t kSameLoad = 1;
constexpr std::size_t kMostPlacedWaiting = 500;
// Suppresses duplicates: several hosts send the same report at the same time.
// Must be below the period at which hosts repeat their reports.
constexpr Duration kCrashTellAgain = std::chrono::milliseconds(800);
constexpr std::size_t kMostCrashesWaiting = 300;
// Reports of an unchanged limit within this time are dropped as duplicates.
constexpr Duration kLimitTellAgain = std::chrono::milliseconds(800);

std::uint64_t KeyOf(const PlacedObject& placed) {
  constexpr unsigned kHalf = 32;
  return (std::uint64_t{static_cast<std::uint32_t>(placed.target)} << kHalf) |
         placed.object.Value();
}

std::uint32_t Difference(std::uint32_t left, std::uint32_t right) {
  return left > right ? left - right : right - left;
}

}  // namespace

void UpdateQueue::Add(const PeerUpdate& news, MonotonicTime now) {
  for (const membership::Heartbeat& heartbeat : news.heartbeats) {
    heartbeats_[heartbeat.host_hash] = {.heartbeat = heartbeat,
                                        .heard_at = now};
  }
  for (const PlacedObject& placed : news.placed) {
    AddPlaced(placed, now);
  }
  for (const ReportedLoad& load : news.loads) {
    AddLoad(load, now);
  }
  for (const request_path::CrashReport& report : news.crashes) {
    AddCrash(report, now);
  }
  for (const request_path::LimitReport& report : news.limits) {
    AddLimit(report, now);
  }
}

void UpdateQueue::AddLimit(const request_path::LimitReport& report,
                           MonotonicTime now) {
  const auto told = told_limits_.find(report.target);
  const bool is_known =
      told != told_limits_.end() &&
      now - told->second.told_at < kLimitTellAgain &&
      told->second.requests_per_second == report.requests_per_second;
  if (is_known) {
    limits_.erase(report.target);
  } else {
    limits_[report.target] = report.requests_per_second;
  }
}

void UpdateQueue::AddPlaced(const PlacedObject& placed, MonotonicTime now) {
  const auto [told, is_new] = told_placed_.try_emplace(KeyOf(placed), now);
  if (!is_new && now - told->second < kPlacedTellAgain) {
    return;
  }
  told->second = now;
  if (placed_.size() >= kMostPlacedWaiting) {
    placed_.pop_front();
  }
  placed_.push_back(placed);
}

void UpdateQueue::AddLoad(const ReportedLoad& load, MonotonicTime now) {
  const auto told = told_loads_.find(load.target);
  const bool is_known =
      told != told_loads_.end() &&
      now - told->second.told_at < kLoadTellAgain &&
      Difference(told->second.requests, load.requests) <= kSameLoad;
  if (is_known) {
    loads_.erase(load.target);
  } else {
    loads_[load.target] = load.requests;
  }
}

void UpdateQueue::AddCrash(const request_path::CrashReport& report,
                           MonotonicTime now) {
  while (!told_crashes_.empty() &&
         (now - told_crashes_.front().told_at >= kCrashTellAgain ||
          told_crashes_.size() >= kMostCrashesWaiting)) {
    told_crashes_.pop_front();
  }
  if (std::ranges::find(told_crashes_, report, &ToldCrash::report) !=
      told_crashes_.end()) {
    return;
  }
  told_crashes_.push_back({.report = report, .told_at = now});
  if (crashes_.size() >= kMostCrashesWaiting) {
    crashes_.pop_front();
  }
  crashes_.push_back(report);
}

PeerUpdate UpdateQueue::Take(std::size_t most_bytes, MonotonicTime now) {
  ForgetTold(now);
  PeerUpdate news;
  std::size_t bytes_left = most_bytes;
  TakeHeartbeats(news, bytes_left, now);
  TakeCrashes(news, bytes_left);
  TakeLimits(news, bytes_left, now);
  const std::size_t for_loads =
      std::min(loads_.size() * kLoadBytes, bytes_left / 2);
  TakePlaced(news, bytes_left, bytes_left - for_loads);
  TakeLoads(news, bytes_left, now);
  return news;
}

void UpdateQueue::TakeHeartbeats(PeerUpdate& news,
                                 std::size_t& bytes_left,
                                 MonotonicTime now) {
  while (!heartbeats_.empty() && bytes_left >= membership::kHeartbeatBytes) {
    const auto node = heartbeats_.extract(heartbeats_.begin());
    const auto aged =
        membership::Aged(node.mapped().heartbeat, now - node.mapped().heard_at);
    if (aged) {
      news.heartbeats.push_back(*aged);
      bytes_left -= membership::kHeartbeatBytes;
    }
  }
}

void UpdateQueue::TakeCrashes(PeerUpdate& news, std::size_t& bytes_left) {
  const std::size_t count =
      std::min(crashes_.size(), bytes_left / 2 / kCrashReportBytes);
  const auto end = crashes_.begin() + static_cast<std::ptrdiff_t>(count);
  news.crashes.assign(crashes_.begin(), end);
  crashes_.erase(crashes_.begin(), end);
  bytes_left -= count * kCrashReportBytes;
}

void UpdateQueue::TakeLimits(PeerUpdate& news,
                             std::size_t& bytes_left,
                             MonotonicTime now) {
  const std::size_t most = bytes_left / 2 / kLimitReportBytes;
  while (!limits_.empty() && news.limits.size() < most) {
    const auto node = limits_.extract(limits_.begin());
    news.limits.push_back(
        {.target = node.key(), .requests_per_second = node.mapped()});
    told_limits_[node.key()] = {.requests_per_second = node.mapped(),
                                .told_at = now};
    bytes_left -= kLimitReportBytes;
  }
}

void UpdateQueue::TakePlaced(PeerUpdate& news,
                             std::size_t& bytes_left,
                             std::size_t most) {
  const std::size_t count = std::min(placed_.size(), most / kPlacedBytes);
  news.placed.assign(placed_.begin(),
                     placed_.begin() + static_cast<std::ptrdiff_t>(count));
  placed_.erase(placed_.begin(),
                placed_.begin() + static_cast<std::ptrdiff_t>(count));
  bytes_left -= count * kPlacedBytes;
}

void UpdateQueue::TakeLoads(PeerUpdate& news,
                            std::size_t& bytes_left,
                            MonotonicTime now) {
  while (!loads_.empty() && bytes_left >= kLoadBytes) {
    // From where the last datagram ended, so that each target has its turn.
    auto next = loads_.upper_bound(last_load_);
    const auto node =
        loads_.extract(next == loads_.end() ? loads_.begin() : next);
    last_load_ = node.key();
    news.loads.push_back({.target = node.key(), .requests = node.mapped()});
    told_loads_[node.key()] = {.requests = node.mapped(), .told_at = now};
    bytes_left -= kLoadBytes;
  }
}

void UpdateQueue::ForgetTold(MonotonicTime now) {
  if (now - forgot_at_ < kPlacedTellAgain) {
    return;
  }
  forgot_at_ = now;
  std::erase_if(told_placed_, [now](const auto& told) {
    return now - told.second >= kPlacedTellAgain;
  });
  std::erase_if(told_limits_, [now](const auto& told) {
    return now - told.second.told_at >= kLimitTellAgain;
  });
  std::erase_if(told_loads_, [now](const auto& told) {
    return now - told.second.told_at >= kLoadTellAgain;
  });
}

}  // namespace medlarcroft::peer_updates
