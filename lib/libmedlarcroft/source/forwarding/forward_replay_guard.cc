#include "medlarcroft/forwarding/forward_replay_guard.h"

#include "medlarcroft/forwarding/forward_proof.h"

namespace medlarcroft::forwarding {

namespace {

/// A proof whose time is ahead of this host's clock is valid for one lifetime
/// before and one after that time.
constexpr Duration kProofRetention = 2 * kForwardProofLifetime;

}  // namespace

bool ForwardReplayGuard::Admit(const std::string& proof) {
  const MonotonicTime now = clock_.Now();
  RemoveExpired(now);
  if (seen_.size() >= capacity_ || !seen_.insert(proof).second) {
    return false;
  }
  insertion_order_.emplace_back(now, proof);
  return true;
}

void ForwardReplayGuard::RemoveExpired(MonotonicTime now) {
  while (!insertion_order_.empty() &&
         now - insertion_order_.front().first > kProofRetention) {
    seen_.erase(insertion_order_.front().second);
    insertion_order_.pop_front();
  }
}

}  // namespace medlarcroft::forwarding
