#include "medlarcroft/request_path/request_path.h"

namespace medlarcroft::request_path {

namespace {

using quota::Admission;

}  // namespace

// The token is taken before the request is placed: a request over the quota
// must not take part in placement, and whatever is not sent gives its token
// back.
Step RequestPath::AdmitAndSend(Request& request, MonotonicTime now) {
  const bool is_limited = quotas_ != nullptr && request.account != nullptr &&
                          !request.account->quota.IsUnlimited();
  if (!is_limited) {
    return SendFirst(request, now);
  }
  return ApplyAdmission(request, quotas_->Admit(*request.account, now), now);
}

Step RequestPath::ApplyAdmission(Request& request,
                                 const quota::AdmissionResult& result,
                                 MonotonicTime now) {
  request.waits_for_token = result.admission == Admission::kWaiting;
  if (request.waits_for_token) {
    return AwaitToken{.max_wait = quota::kMaxTokenWait};
  }
  if (result.admission != Admission::kAdmitted) {
    return RefuseByQuota(request, result.admission, now);
  }
  request.token_valid_until = result.token_valid_until;
  Step step = SendFirst(request, now);
  if (std::holds_alternative<RequestFailure>(step)) {
    GiveTokenBack(request, now);
  }
  return step;
}

std::vector<std::pair<RequestTicket, Step>> RequestPath::OnTokens(
    const ClientAccountName& account,
    MonotonicTime now) {
  std::vector<std::pair<RequestTicket, Step>> steps;
  const auto waiting = waiting_.find(account);
  if (waiting == waiting_.end()) {
    return steps;
  }
  std::deque<RequestTicket> tickets = std::move(waiting->second);
  waiting_.erase(waiting);
  while (!tickets.empty()) {
    const auto found = requests_.find(tickets.front());
    if (found == requests_.end() || !found->second.waits_for_token) {
      tickets.pop_front();
      continue;
    }
    Request& request = found->second;
    const quota::AdmissionResult result =
        quotas_->AdmitWaiting(*request.account, now);
    if (result.admission == Admission::kWaiting) {
      break;
    }
    steps.emplace_back(tickets.front(), ApplyAdmission(request, result, now));
    tickets.pop_front();
    if (std::holds_alternative<RequestFailure>(steps.back().second)) {
      requests_.erase(found);
    }
  }
  if (!tickets.empty()) {
    auto& rest = waiting_[account];
    rest.insert(rest.begin(), tickets.begin(), tickets.end());
  }
  return steps;
}

Step RequestPath::OnTokenWaitOver(RequestTicket ticket, MonotonicTime now) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end() || !found->second.waits_for_token) {
    return AwaitAttempt{};
  }
  const RequestFailure failure = EndTokenWait(found->second, now);
  requests_.erase(found);
  return failure;
}

RequestFailure RequestPath::EndTokenWait(Request& request, MonotonicTime now) {
  request.waits_for_token = false;
  return RefuseByQuota(request, quotas_->EndWait(*request.account, now), now);
}

RequestFailure RequestPath::RefuseByQuota(const Request& request,
                                          Admission admission,
                                          MonotonicTime now) {
  return {.reason = admission == Admission::kUnknown
                        ? FailureReason::kQuotaUnknown
                        : FailureReason::kQuotaExceeded,
          .retry_after =
              SpreadRetryAfter(quotas_->TimeToRetry(*request.account, now))};
}

void RequestPath::GiveTokenBack(const Request& request, MonotonicTime now) {
  if (request.token_valid_until) {
    quotas_->GiveBack(*request.account, *request.token_valid_until, now);
  }
}

}  // namespace medlarcroft::request_path
