// RequestPath: sends of a host that may be cut off from all targets.
#include <algorithm>

#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

std::vector<ReachCandidate> RequestPath::StartReachProbes(
    const FailureDomainName& own_domain,
    MonotonicTime now) {
  if (!reach_.ShouldProbe(OutstandingSince(), now)) {
    return {};
  }
  return reach_.StartProbes(targets_.ReachCandidates(), own_domain, now);
}

void RequestPath::OnReachProbed(TargetNumber target,
                                bool is_reached,
                                MonotonicTime now) {
  const bool was_cut_off = reach_.IsCutOff();
  reach_.OnProbed(target, is_reached, now);
  // The failures of the last moments were this host's, not the targets'. Other
  // hosts reach the targets, which would all count as failed for seconds.
  if (reach_.IsCutOff() != was_cut_off) {
    targets_.ForgetFailures();
  }
}

// Where a request may run in some regions only, it must not pass through others
// either.
RegionName RequestPath::HelperRegion(const Request& request,
                                     const TargetState& target) const {
  const auto& allowed = request.allowed_regions;
  const bool is_own_allowed =
      allowed.empty() ||
      std::ranges::find(allowed, options_.own_region) != allowed.end();
  return is_own_allowed ? options_.own_region : target.Region();
}

std::optional<MonotonicTime> RequestPath::OutstandingSince() const {
  std::optional<MonotonicTime> oldest;
  for (const auto& [ticket, request] : requests_) {
    for (const Attempt& attempt : request.attempts) {
      if (attempt.is_open && !attempt.is_relayed &&
          (!oldest || attempt.sent_at < *oldest)) {
        oldest = attempt.sent_at;
      }
    }
  }
  return oldest;
}

}  // namespace medlarcroft::request_path
