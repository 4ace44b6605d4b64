#include "medlarcroft/request_path/ended_targets.h"

#include <algorithm>

namespace medlarcroft::request_path {

namespace {

// Several times the targets of the largest deployment.
constexpr std::size_t kMaxEnds = 4096;

}  // namespace

MonotonicTime EndedTargets::Add(TargetNumber target, MonotonicTime ended_at) {
  const auto [known, is_new] = ended_at_.try_emplace(target, ended_at);
  if (!is_new) {
    return known->second;
  }
  ends_.insert(std::ranges::upper_bound(ends_, ended_at, {}, &End::at),
               {.target = target, .at = ended_at});
  if (ends_.size() > kMaxEnds) {
    DropOldest();
  }
  return ended_at;
}

std::size_t EndedTargets::CountAround(MonotonicTime time,
                                      Duration distance) const {
  const auto first =
      std::ranges::lower_bound(ends_, time - distance, {}, &End::at);
  const auto end =
      std::ranges::upper_bound(ends_, time + distance, {}, &End::at);
  return static_cast<std::size_t>(end - first);
}

void EndedTargets::Advance(MonotonicTime now) {
  while (!ends_.empty() && now - ends_.front().at >= kLifetime) {
    DropOldest();
  }
}

void EndedTargets::DropOldest() {
  ended_at_.erase(ends_.front().target);
  ends_.pop_front();
}

}  // namespace medlarcroft::request_path
