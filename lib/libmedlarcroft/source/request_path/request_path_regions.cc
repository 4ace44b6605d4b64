// RequestPath: the regions in which a request may run when it is sent.
#include "medlarcroft/request_path/allowed_regions.h"
#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

// A request may wait for a token, a connection, a retry or a hedge while a new
// configuration comes into force. By the regions of its arrival it would run
// where that configuration forbids it. Its account stays that of its arrival,
// also without a key. An account that no longer exists, and a route if the
// request matches none any more, restrict it as before.
void RequestPath::UpdateRegions(Request& request) {
  if (request.configuration == routes_.Version()) {
    return;
  }
  request.configuration = routes_.Version();
  auto route = routes_.Find(request.query.host, request.query.target);
  if (!route) {
    route = request.route;
  }
  auto account = request.account;
  if (account) {
    if (const auto current = routes_.Accounts().FindByName(account->name)) {
      account = current;
    }
  }
  auto allowed = AllowedRegions(*route, account.get());
  request.is_region_forbidden = !allowed;
  request.allowed_regions =
      std::move(allowed).value_or(std::vector<RegionName>{});
}

// Guards against requests that run in a region which a configuration that this
// host has not heard of forbids. What ran or was stored there can't be undone,
// while callers that are refused reach another host. Requests that may run
// anywhere are sent as before.
std::optional<RequestFailure> RequestPath::CheckRegions(Request& request,
                                                        MonotonicTime now) {
  UpdateRegions(request);
  if (request.is_region_forbidden) {
    return RequestFailure{.reason = FailureReason::kRegionForbidden,
                          .is_not_run = !request.may_have_run};
  }
  const bool may_have_changed = IsConfigurationStale(now) && !is_store_away_;
  if (may_have_changed && !request.allowed_regions.empty()) {
    return RequestFailure{.reason = FailureReason::kRegionsUnknown,
                          .is_not_run = !request.may_have_run,
                          .retry_after = RetryAfter(Duration(0))};
  }
  return std::nullopt;
}

bool RequestPath::MaySend(RequestTicket ticket,
                          const TargetIdentity& target,
                          MonotonicTime now) {
  const auto found = requests_.find(ticket);
  const TargetState* const state = targets_.Find(target);
  if (found == requests_.end() || state == nullptr || !MaySend(target, now)) {
    return false;
  }
  Request& request = found->second;
  return !CheckRegions(request, now) &&
         IsAllowedRegion(state->Region(), request.allowed_regions);
}

}  // namespace medlarcroft::request_path
