// RequestPath: targets that ask for rest or say that they leave.
#include <algorithm>

#include "medlarcroft/core/target_rest.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

void RequestPath::OnNotice(const TargetIdentity& target,
                           const TargetNotice& notice,
                           std::string_view request,
                           MonotonicTime now) {
  if (notice.is_leaving) {
    targets_.MarkLeaving(target, request);
  }
  if (notice.rest && *notice.rest > Duration(0)) {
    const Duration length = std::min(*notice.rest, kMaxTargetRest);
    targets_.Rest(target,
                  {.length = length,
                   .delay = PartOf(ReturnSpread(length), random_.NextUnit()),
                   .request = request},
                  now);
  }
}

bool RequestPath::IsResting(const TargetIdentity& target,
                            MonotonicTime now) const {
  const TargetState* const state = targets_.Find(target);
  return state != nullptr && state->IsResting(now);
}

bool RequestPath::WantsNothing(const TargetIdentity& target,
                               MonotonicTime now) const {
  const TargetState* const state = targets_.Find(target);
  return state != nullptr &&
         (state->IsResting(now) || state->Record().is_leaving);
}

std::optional<Duration> RequestPath::ShortestRest(const Request& request,
                                                  MonotonicTime now) {
  std::optional<Duration> shortest;
  if (targets_.RestingCount() == 0) {
    return shortest;
  }
  const auto& allowed = request.allowed_regions;
  for (const RegionTargets& region : targets_.Usable(request.service)) {
    if (!allowed.empty() &&
        std::ranges::find(allowed, region.region) == allowed.end()) {
      continue;
    }
    for (const TargetState* const target : region.targets) {
      if (!target->IsResting(now)) {
        return std::nullopt;
      }
      const Duration left = target->RestEnd() - now;
      shortest = std::min(shortest.value_or(left), left);
    }
  }
  return shortest;
}

// Holding the request until a target has rested would serve it late at best,
// and all held requests would reach that target at the same moment.
RequestFailure RequestPath::RefuseWithoutTarget(const Request& request,
                                                FailureReason reason,
                                                MonotonicTime now) {
  const std::optional<Duration> rest = ShortestRest(request, now);
  if (!rest) {
    return {.reason = reason, .retry_after = RetryAfter(Duration(0))};
  }
  return {.reason = FailureReason::kTargetsResting,
          .retry_after =
              *rest + PartOf(CallerReturnSpread(*rest), random_.NextUnit())};
}

}  // namespace medlarcroft::request_path
