#include "medlarcroft/request_path/target_reach.h"

#include <algorithm>
#include <set>

namespace medlarcroft::request_path {

namespace {

// Failures further apart are not one event.
constexpr Duration kFailureMemory = std::chrono::seconds(1);
constexpr Duration kRoundInterval = std::chrono::milliseconds(500);
// A host with few requests, which take long, is silent most of the time.
constexpr Duration kSilencePause = std::chrono::seconds(1);
constexpr Duration kCutOffRoundInterval = std::chrono::milliseconds(250);
constexpr std::size_t kMinCutOffProbes = 2;
// Targets that accepted a connection within this time count together.
constexpr Duration kReachMemory = std::chrono::milliseconds(1500);
// A cut that returns within this time takes more evidence to end. Otherwise
// requests would fail each time that some connections pass.
constexpr Duration kRelapseTime = std::chrono::seconds(5);
constexpr std::size_t kMaxTargetsForReturn = 12;
// Without any helper for this long, there may be one by now.
constexpr Duration kNoHelperMemory = std::chrono::seconds(1);

void ForgetBefore(std::map<TargetNumber, MonotonicTime>& events,
                  MonotonicTime oldest) {
  std::erase_if(events,
                [oldest](const auto& event) { return event.second < oldest; });
}

}  // namespace

void TargetReach::OnConnected(MonotonicTime now) {
  failed_.clear();
  last_answer_at_ = now;
}

void TargetReach::OnConnectFailed(TargetNumber target, MonotonicTime now) {
  ForgetBefore(failed_, now - kFailureMemory);
  failed_[target] = now;
}

bool TargetReach::ShouldProbe(std::optional<MonotonicTime> outstanding_since,
                              MonotonicTime now) const {
  if (pending_probes_ > 0 || now < next_round_at_) {
    return false;
  }
  const MonotonicTime silent_before = now - options_.suspicious_silence;
  const bool is_silent = now >= silence_ignored_until_ && outstanding_since &&
                         *outstanding_since < silent_before &&
                         last_answer_at_ < silent_before;
  const auto recent =
      std::ranges::count_if(failed_, [now](const auto& failure) {
        return now - failure.second <= kFailureMemory;
      });
  return is_cut_off_ || is_silent ||
         static_cast<std::size_t>(recent) >= options_.suspicious_failures;
}

std::vector<ReachCandidate> TargetReach::StartProbes(
    std::span<const ReachCandidate> candidates,
    const FailureDomainName& own_domain,
    MonotonicTime now) {
  next_round_at_ = now + (is_cut_off_ ? kCutOffRoundInterval : kRoundInterval);
  known_targets_ = candidates.size();
  std::vector<ReachCandidate> chosen =
      Choose(candidates, own_domain,
             is_cut_off_ ? CutOffProbes() : options_.probes_per_round);
  round_size_ = chosen.size();
  pending_probes_ = chosen.size();
  return chosen;
}

std::vector<ReachCandidate> TargetReach::Choose(
    std::span<const ReachCandidate> candidates,
    const FailureDomainName& first_domain,
    std::size_t count) {
  std::vector<ReachCandidate> shuffled(candidates.begin(), candidates.end());
  for (std::size_t i = shuffled.size(); i > 1; --i) {
    std::swap(shuffled[i - 1], shuffled[random_.NextBelow(i)]);
  }
  // A host that is separated from other failure domains still reaches its own.
  std::stable_partition(shuffled.begin(), shuffled.end(),
                        [&](const ReachCandidate& candidate) {
                          return candidate.domain == first_domain;
                        });
  std::set<FailureDomainName> domains;
  std::stable_partition(shuffled.begin(), shuffled.end(),
                        [&](const ReachCandidate& candidate) {
                          return domains.insert(candidate.domain).second;
                        });
  shuffled.resize(std::min(count, shuffled.size()));
  return shuffled;
}

void TargetReach::OnProbed(TargetNumber target,
                           bool is_reached,
                           MonotonicTime now) {
  pending_probes_ -= std::min<std::size_t>(pending_probes_, 1);
  if (is_cut_off_) {
    ForgetBefore(reached_, now - kReachMemory);
    if (is_reached) {
      reached_[target] = now;
    }
    if (reached_.size() >= TargetsForReturn(now)) {
      Return(now);
    }
    return;
  }
  if (is_reached) {
    OnConnected(now);
    silence_ignored_until_ = now + kSilencePause;
    round_size_ = 0;
    return;
  }
  // A single target says nothing about the others.
  if (pending_probes_ == 0 && round_size_ > 1) {
    CutOff(now);
  }
}

// Some of few targets may be down, so half of them suffice.
std::size_t TargetReach::TargetsForReturn(MonotonicTime now) const {
  if (no_helper_at_ && now - *no_helper_at_ <= kNoHelperMemory) {
    return 1;
  }
  return std::min(targets_for_return_, (known_targets_ + 1) / 2);
}

// Several rounds lie within `kReachMemory`, in which different targets must
// accept.
std::size_t TargetReach::CutOffProbes() const {
  return std::max(kMinCutOffProbes, targets_for_return_ / 2);
}

void TargetReach::CutOff(MonotonicTime now) {
  const bool is_relapse = returned_at_ && now - *returned_at_ < kRelapseTime;
  targets_for_return_ =
      is_relapse ? std::min(2 * targets_for_return_, kMaxTargetsForReturn)
                 : options_.targets_for_return;
  is_cut_off_ = true;
  reached_.clear();
  no_helper_at_.reset();
}

void TargetReach::Return(MonotonicTime now) {
  is_cut_off_ = false;
  returned_at_ = now;
  round_size_ = 0;
  failed_.clear();
  last_answer_at_ = now;
}

}  // namespace medlarcroft::request_path
