#include "medlarcroft/peer_updates/update_queue.h"

#include <algorithm>

namespace medlarcroft::peer_updates {

namespace {

// Targets keep an object for longer than this, and a datagram may be lost.
constexpr Duration kPlacementRepeatTime = std::chrono::seconds(2);
// A load that has hardly changed is forwarded again after this time.
constexpr Duration kLoadRepeatTime = std::chrono::milliseconds(800);
constexpr std::uint32_t kLoadTolerance = 1;
constexpr std::size_t kMaxQueuedPlacements = 500;
// Suppresses duplicates: several hosts send the same report at the same time.
// Must be below the period at which hosts repeat their reports.
constexpr Duration kCrashRepeatTime = std::chrono::milliseconds(800);
constexpr std::size_t kMaxQueuedCrashes = 300;
// Reports of an unchanged limit within this time are dropped as duplicates.
constexpr Duration kLimitRepeatTime = std::chrono::milliseconds(800);

std::uint64_t KeyOf(const PlacedObject& placed) {
  constexpr unsigned kHalf = 32;
  return (std::uint64_t{static_cast<std::uint32_t>(placed.target)} << kHalf) |
         placed.object.Value();
}

std::uint32_t Difference(std::uint32_t left, std::uint32_t right) {
  return left > right ? left - right : right - left;
}

}  // namespace

void UpdateQueue::Add(const PeerUpdate& update, MonotonicTime now) {
  for (const membership::Heartbeat& heartbeat : update.heartbeats) {
    heartbeats_[heartbeat.host_hash] = {.heartbeat = heartbeat,
                                        .received_at = now};
  }
  for (const PlacedObject& placed : update.placed) {
    AddPlacement(placed, now);
  }
  for (const ReportedLoad& load : update.loads) {
    AddLoad(load, now);
  }
  for (const request_path::CrashReport& report : update.crashes) {
    AddCrash(report, now);
  }
  for (const request_path::LimitReport& report : update.limits) {
    AddLimit(report, now);
  }
}

void UpdateQueue::AddLimit(const request_path::LimitReport& report,
                           MonotonicTime now) {
  const auto forwarded = forwarded_limits_.find(report.target);
  const bool is_known =
      forwarded != forwarded_limits_.end() &&
      now - forwarded->second.forwarded_at < kLimitRepeatTime &&
      forwarded->second.requests_per_second == report.requests_per_second;
  if (is_known) {
    limits_.erase(report.target);
  } else {
    limits_[report.target] = report.requests_per_second;
  }
}

void UpdateQueue::AddPlacement(const PlacedObject& placed, MonotonicTime now) {
  const auto [forwarded, is_new] =
      forwarded_placements_.try_emplace(KeyOf(placed), now);
  if (!is_new && now - forwarded->second < kPlacementRepeatTime) {
    return;
  }
  forwarded->second = now;
  if (placed_.size() >= kMaxQueuedPlacements) {
    placed_.pop_front();
  }
  placed_.push_back(placed);
}

void UpdateQueue::AddLoad(const ReportedLoad& load, MonotonicTime now) {
  const auto forwarded = forwarded_loads_.find(load.target);
  const bool is_known =
      forwarded != forwarded_loads_.end() &&
      now - forwarded->second.forwarded_at < kLoadRepeatTime &&
      Difference(forwarded->second.requests, load.requests) <= kLoadTolerance;
  if (is_known) {
    loads_.erase(load.target);
  } else {
    loads_[load.target] = load.requests;
  }
}

void UpdateQueue::AddCrash(const request_path::CrashReport& report,
                           MonotonicTime now) {
  while (!forwarded_crashes_.empty() &&
         (now - forwarded_crashes_.front().forwarded_at >= kCrashRepeatTime ||
          forwarded_crashes_.size() >= kMaxQueuedCrashes)) {
    forwarded_crashes_.pop_front();
  }
  request_path::CrashReport ageless = report;
  ageless.age = Duration(0);
  if (std::ranges::find(forwarded_crashes_, ageless, &ForwardedCrash::report) !=
      forwarded_crashes_.end()) {
    return;
  }
  forwarded_crashes_.push_back({.report = ageless, .forwarded_at = now});
  if (crashes_.size() >= kMaxQueuedCrashes) {
    crashes_.pop_front();
  }
  crashes_.push_back({.report = report, .waits_since = now});
}

PeerUpdate UpdateQueue::Take(std::size_t max_bytes, MonotonicTime now) {
  DropExpiredHistory(now);
  PeerUpdate update;
  std::size_t bytes_left = max_bytes;
  TakeHeartbeats(update, bytes_left, now);
  TakeCrashes(update, bytes_left, now);
  TakeLimits(update, bytes_left, now);
  const std::size_t for_loads =
      std::min(loads_.size() * kLoadBytes, bytes_left / 2);
  TakePlacements(update, bytes_left, bytes_left - for_loads);
  TakeLoads(update, bytes_left, now);
  return update;
}

void UpdateQueue::TakeHeartbeats(PeerUpdate& update,
                                 std::size_t& bytes_left,
                                 MonotonicTime now) {
  while (!heartbeats_.empty() && bytes_left >= membership::kHeartbeatBytes) {
    const auto node = heartbeats_.extract(heartbeats_.begin());
    const auto aged = membership::Aged(node.mapped().heartbeat,
                                       now - node.mapped().received_at);
    if (aged) {
      update.heartbeats.push_back(*aged);
      bytes_left -= membership::kHeartbeatBytes;
    }
  }
}

void UpdateQueue::TakeCrashes(PeerUpdate& update,
                              std::size_t& bytes_left,
                              MonotonicTime now) {
  const std::size_t count =
      std::min(crashes_.size(), bytes_left / 2 / kCrashReportBytes);
  for (std::size_t taken = 0; taken < count; ++taken) {
    update.crashes.push_back(crashes_.front().At(now));
    crashes_.pop_front();
  }
  bytes_left -= count * kCrashReportBytes;
}

void UpdateQueue::TakeLimits(PeerUpdate& update,
                             std::size_t& bytes_left,
                             MonotonicTime now) {
  const std::size_t max_count = bytes_left / 2 / kLimitReportBytes;
  while (!limits_.empty() && update.limits.size() < max_count) {
    const auto node = limits_.extract(limits_.begin());
    update.limits.push_back(
        {.target = node.key(), .requests_per_second = node.mapped()});
    forwarded_limits_[node.key()] = {.requests_per_second = node.mapped(),
                                     .forwarded_at = now};
    bytes_left -= kLimitReportBytes;
  }
}

void UpdateQueue::TakePlacements(PeerUpdate& update,
                                 std::size_t& bytes_left,
                                 std::size_t max_bytes) {
  const std::size_t count = std::min(placed_.size(), max_bytes / kPlacedBytes);
  update.placed.assign(placed_.begin(),
                       placed_.begin() + static_cast<std::ptrdiff_t>(count));
  placed_.erase(placed_.begin(),
                placed_.begin() + static_cast<std::ptrdiff_t>(count));
  bytes_left -= count * kPlacedBytes;
}

void UpdateQueue::TakeLoads(PeerUpdate& update,
                            std::size_t& bytes_left,
                            MonotonicTime now) {
  while (!loads_.empty() && bytes_left >= kLoadBytes) {
    // Continues after the last load sent, so that no target is starved.
    auto next = loads_.upper_bound(last_sent_target_);
    const auto node =
        loads_.extract(next == loads_.end() ? loads_.begin() : next);
    last_sent_target_ = node.key();
    update.loads.push_back({.target = node.key(), .requests = node.mapped()});
    forwarded_loads_[node.key()] = {.requests = node.mapped(),
                                    .forwarded_at = now};
    bytes_left -= kLoadBytes;
  }
}

void UpdateQueue::DropExpiredHistory(MonotonicTime now) {
  if (now - history_dropped_at_ < kPlacementRepeatTime) {
    return;
  }
  history_dropped_at_ = now;
  std::erase_if(forwarded_placements_, [now](const auto& forwarded) {
    return now - forwarded.second >= kPlacementRepeatTime;
  });
  std::erase_if(forwarded_limits_, [now](const auto& forwarded) {
    return now - forwarded.second.forwarded_at >= kLimitRepeatTime;
  });
  std::erase_if(forwarded_loads_, [now](const auto& forwarded) {
    return now - forwarded.second.forwarded_at >= kLoadRepeatTime;
  });
}

}  // namespace medlarcroft::peer_updates
