// Crash tracker: whether the crashes of a request are its own doing.
#include <algorithm>
#include <set>

#include "medlarcroft/request_path/crash_tracker.h"

namespace medlarcroft::request_path {

void CrashTracker::Decide(RequestFingerprint request,
                          Entry& entry,
                          MonotonicTime now) {
  if (entry.blocked_until) {
    return;
  }
  if (IsBlockDue(entry, now)) {
    Block(request, entry, options_.block_duration, now);
    return;
  }
  const std::optional<MonotonicTime> held_until = HeldUntil(entry, now);
  if (held_until && held_until != entry.held_until && observer_ != nullptr) {
    observer_->OnHeld(request, *held_until - now);
  }
  entry.held_until = held_until;
}

bool CrashTracker::IsBlockDue(const Entry& entry, MonotonicTime now) const {
  return EvidenceAgainst(entry, now - options_.decision_delay) >
         options_.min_evidence;
}

std::optional<MonotonicTime> CrashTracker::HeldUntil(const Entry& entry,
                                                     MonotonicTime now) const {
  if (EvidenceAgainst(entry, now) <= options_.min_evidence) {
    return std::nullopt;
  }
  std::optional<MonotonicTime> first;
  for (const Crash& crash : entry.crashes) {
    const MonotonicTime decided_at = crash.at + options_.decision_delay;
    if (decided_at > now && (!first || decided_at < *first)) {
      first = decided_at;
    }
  }
  return first;
}

bool CrashTracker::HasCrashed(const Entry& entry, TargetNumber target) {
  return std::ranges::find(entry.crashes, target, &Crash::target) !=
         entry.crashes.end();
}

std::size_t CrashTracker::CrashesAround(const Entry& entry,
                                        MonotonicTime time,
                                        Duration distance) {
  return static_cast<std::size_t>(
      std::ranges::count_if(entry.crashes, [&](const Crash& crash) {
        return std::chrono::abs(crash.at - time) <= distance;
      }));
}

CrashTracker::Explanations CrashTracker::FindExplanations() const {
  Explanations explanations;
  for (const auto& [request, entry] : entries_) {
    if (entry.crashes.size() >= options_.crashes_to_block) {
      explanations.push_back(&entry);
    }
  }
  return explanations;
}

double CrashTracker::EvidenceAgainst(const Entry& entry,
                                     MonotonicTime latest) const {
  if (entry.crashes.size() < options_.crashes_to_block) {
    return 0;
  }
  const Explanations explanations = FindExplanations();
  double evidence = 0;
  std::size_t crashes = 0;
  for (const Crash& crash : entry.crashes) {
    if (crash.at <= latest) {
      ++crashes;
      evidence += crash.final_weight ? *crash.final_weight
                                     : WeightOf(entry, crash, explanations);
    }
  }
  return crashes >= options_.crashes_to_block ? evidence : 0;
}

// Made for waves in which many targets end at once, for requests that crash one
// target after the other, several of them, and for both together. A request
// that crashes targets accounts for most ends around it, once those are left
// aside that another such request accounts for. One that ran in a wave accounts
// for one or two of many, and one that ran beside a request that crashes
// targets for fewer of them than that. Ends are not divided among the requests
// that ran there: a request that crashes targets is found however many ran
// beside it.
double CrashTracker::WeightOf(const Entry& entry,
                              const Crash& crash,
                              const Explanations& explanations) const {
  const auto in_explanation_time = [&](const Entry& request) {
    return CrashesAround(request, crash.at, options_.explanation_time);
  };
  std::set<TargetNumber> explained;
  for (const Entry* const other : explanations) {
    const std::size_t others = in_explanation_time(*other);
    if (other == &entry || others < options_.crashes_to_block) {
      continue;
    }
    if (others > in_explanation_time(entry) &&
        HasCrashed(*other, crash.target)) {
      return 0;
    }
    for (const Crash& explained_crash : other->crashes) {
      const Duration distance = std::chrono::abs(explained_crash.at - crash.at);
      if (distance <= options_.moment &&
          !HasCrashed(entry, explained_crash.target)) {
        explained.insert(explained_crash.target);
      }
    }
  }
  const std::size_t own = CrashesAround(entry, crash.at, options_.moment);
  const std::size_t ends =
      ended_targets_.CountAround(crash.at, options_.moment);
  const std::size_t accounted_for = own + explained.size();
  const std::size_t unexplained =
      ends > accounted_for ? ends - accounted_for : 0;
  return own >= unexplained ? 1 : 2.0 / static_cast<double>(own + unexplained);
}

void CrashTracker::KeepFinalWeights(MonotonicTime now) {
  const Explanations explanations = FindExplanations();
  for (auto& [request, entry] : entries_) {
    for (Crash& crash : entry.crashes) {
      const bool is_soon_forgotten =
          now - crash.at >= EndedTargets::kLifetime / 2;
      if (is_soon_forgotten && !crash.final_weight) {
        crash.final_weight = WeightOf(entry, crash, explanations);
      }
    }
  }
}

}  // namespace medlarcroft::request_path
