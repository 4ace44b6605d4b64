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
  return reach_.StartProbes(targets_.ReachCandidates(now), own_domain, now);
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
// either. Other regions are for when all hosts of the own one are cut off.
std::vector<RegionName> RequestPath::HelperRegions(
    const Request& request) const {
  if (request.allowed_regions.empty()) {
    return {options_.own_region, RegionName()};
  }
  std::vector<RegionName> regions = request.allowed_regions;
  std::partition(regions.begin(), regions.end(),
                 [this](const RegionName& region) {
                   return region == options_.own_region;
                 });
  return regions;
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
