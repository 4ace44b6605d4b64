#include "medlarcroft/request_path/request_path.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "medlarcroft/request_path/allowed_regions.h"

namespace medlarcroft::request_path {

namespace {

// An attempt is hedged after this multiple of its expected time, but not before
// `kMinHedgeDelay`.
constexpr double kHedgeDelayFactor = 2.5;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(150);
// The time stated to a target ends earlier than the caller's own by this much,
// which the response needs to travel back.
constexpr Duration kResponseMargin = std::chrono::milliseconds(5);
// Random extra time of Retry-After, so that callers do not all retry at once.
constexpr double kRetryAfterSpreadSeconds = 0.4;
constexpr double kMinRetryAfterSeconds = 0.2;
// Expected wait up to which targets have room, and the longest Retry-After
// then.
constexpr Duration kMaxWaitWithRoom = std::chrono::milliseconds(50);
constexpr double kMinRetryAfterWithRoomSeconds = 0.02;
constexpr double kMaxRetryAfterWithRoomSeconds = 0.1;
// Longest Retry-After: available capacity changes sooner than that.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);
constexpr double kMaxRetryAfterSeconds = ToSeconds(kMaxRetryAfter);
// A caller that waits for a larger part of its time has too little left.
constexpr int kTimeLeftPerRetryAfter = 3;

bool MayHaveRun(AttemptEnd end) {
  return end == AttemptEnd::kLost || end == AttemptEnd::kTimedOut ||
         end == AttemptEnd::kHelperLost;
}

bool ReachedTarget(AttemptEnd end) {
  return end != AttemptEnd::kNeverSent && end != AttemptEnd::kNoHelper &&
         end != AttemptEnd::kWithheld;
}

}  // namespace

RequestPath::RequestPath(const Options& options,
                         routing::RouteTable& routes,
                         TargetDirectory& targets,
                         ports::RandomSource& random)
    : options_(options),
      routes_(routes),
      targets_(targets),
      random_(random),
      distances_(options.own_region),
      crashes_(options.crashes),
      limits_(options.limits, random),
      reach_(options.reach, random) {}

RequestStart RequestPath::Begin(const CallerRequest& request,
                                MonotonicTime now) {
  RequestStart start;
  if (const auto failure = Authorize(request, start, now)) {
    start.step = *failure;
    return start;
  }
  start.service = routes_.ChooseService(*start.route);
  start.time_left = std::min(request.time_left.value_or(start.route->timeout),
                             start.route->timeout);
  RetryBudgetOf(start.service).OnEarned(now);
  arrivals_.OnEvent(now);
  if (const auto refusal = CheckStop(start, now)) {
    start.step = *refusal;
    return start;
  }
  if (answers_due_) {
    start.time_left = std::min(start.time_left, *answers_due_ - now);
  }
  if (const auto blocked = crashes_.BlockedFor(request.fingerprint, now)) {
    start.step = RequestFailure{.reason = FailureReason::kRequestBlocked,
                                .retry_after = blocked};
    return start;
  }

  Request state{.query = {.host = request.host, .target = request.target},
                .route = start.route,
                .configuration = routes_.Version(),
                .service = start.service,
                .account = start.account,
                .allowed_regions =
                    AllowedRegions(*start.route, start.account.get()).value(),
                .object = ObjectKey(request.object),
                .fingerprint = request.fingerprint,
                .deadline = now + start.time_left};
  const Duration caller_time_left = request.time_left.value_or(start.time_left);
  state.admission = DescribeForAdmission(state, caller_time_left);
  state.longest_retry_after =
      std::min(caller_time_left / kTimeLeftPerRetryAfter, kMaxRetryAfter);
  start.step = AdmitAndSend(state, now);
  if (!std::holds_alternative<RequestFailure>(start.step)) {
    start.ticket = ++last_ticket_;
    if (state.waits_for_token) {
      waiting_[state.account->name].push_back(start.ticket);
    }
    requests_.emplace(start.ticket, std::move(state));
  }
  return start;
}

std::optional<RequestFailure> RequestPath::Authorize(
    const CallerRequest& request,
    RequestStart& start,
    MonotonicTime now) {
  if (!routes_.IsConfigured()) {
    return RequestFailure{.reason = FailureReason::kNotConfigured,
                          .retry_after = RetryAfter(Duration(0))};
  }
  start.route = routes_.Find(request.host, request.target);
  if (!start.route) {
    return RefuseByConfiguration(FailureReason::kNoRoute,
                                 FailureReason::kNoRouteYet, now);
  }
  const routing::ClientAccountTable& accounts = routes_.Accounts();
  if (request.api_key) {
    start.account = accounts.Find(*request.api_key);
  }
  const bool needs_account = !accounts.IsEmpty() && !start.route->is_public;
  if (needs_account && !start.account) {
    return RefuseByConfiguration(FailureReason::kKeyUnknown,
                                 FailureReason::kKeyUnknownYet, now);
  }
  if (!AllowedRegions(*start.route, start.account.get())) {
    return RequestFailure{.reason = FailureReason::kRegionForbidden};
  }
  return std::nullopt;
}

// Callers don't retry a request that is refused for a missing route or an
// unknown key. While this host may have missed a change of the configuration,
// it must not refuse a proper request for good, so callers are asked to retry.
// A key that was withdrawn meanwhile is accepted until the host learns of it,
// as a removed route is: a host that is cut off keeps serving.
RequestFailure RequestPath::RefuseByConfiguration(
    FailureReason final_reason,
    FailureReason temporary_reason,
    MonotonicTime now) {
  if (!IsConfigurationStale(now)) {
    return {.reason = final_reason};
  }
  return {.reason = temporary_reason, .retry_after = RetryAfter(Duration(0))};
}

Step RequestPath::SendFirst(Request& request, MonotonicTime now) {
  if (const auto refusal = CheckRegions(request, now)) {
    return *refusal;
  }
  const std::optional<Placement> placement = PlaceByRegionPlan(request, now);
  if (!placement) {
    return RefuseWithoutTarget(request, FailureReason::kNoTarget, now);
  }
  // A refusal based on the expected time would reject all requests of a route
  // with a short timeout while its objects are cold, so a newly added route
  // would serve no requests. Only requests that cannot finish in time even in
  // the best case are therefore refused.
  if (placement->best_case > request.deadline - now) {
    return RequestFailure{.reason = FailureReason::kDeadlineUnreachable,
                          .retry_after = RetryAfter(placement->expected_wait),
                          .best = placement};
  }
  if (const auto refusal = CheckAdmission(request, *placement, now)) {
    return *refusal;
  }
  return Send(request, *placement, now);
}

PlacementBasis RequestPath::BasisOf(const Request& request,
                                    MonotonicTime now) const {
  PlacementBasis basis{.configuration = request.configuration,
                       .allowed_regions = request.allowed_regions};
  if (configuration_age_.confirmed_at) {
    basis.configuration_age = now - *configuration_age_.confirmed_at;
  }
  return basis;
}

Step RequestPath::Send(Request& request,
                       const Placement& placement,
                       MonotonicTime now) {
  TargetState& target = *placement.target;
  const TargetRecord& record = target.Record();
  const auto number = static_cast<AttemptNumber>(request.attempts.size() + 1);
  const bool may_repeat =
      request.route->kind == routing::RequestKind::kIdempotent;
  SendAttempt send{
      .attempt = number,
      .target = record.Identity(),
      .address = record.address,
      .account = request.account ? request.account->name : ClientAccountName(),
      .region = target.Region(),
      .round_trip = distances_.RoundTrip(target.Region()),
      .time_left = std::max(request.deadline - now - kResponseMargin,
                            Duration(std::chrono::milliseconds(1))),
      .may_repeat = may_repeat,
      .should_announce = request.route->is_sticky &&
                         target.ShouldAnnounce(request.object, now),
      .placement = placement,
      .report_age = target.ReportAge(now),
      .basis = BasisOf(request, now)};
  if (reach_.IsCutOff()) {
    send.helper_regions = HelperRegions(request);
  }
  const Duration unusually_long =
      std::max(FromSeconds(kHedgeDelayFactor * ToSeconds(placement.expected)),
               kMinHedgeDelay);
  if (may_repeat) {
    send.hedge_after = unusually_long;
  } else {
    send.unnamed_patience = unusually_long;
  }
  request.attempts.push_back(
      {.number = number,
       .target = record.Identity(),
       .sent_at = now,
       .round_trip = distances_.RoundTrip(target.Region()),
       .expected_wait = placement.expected_wait,
       .load_at_send = placement.estimated_load,
       .is_warm = placement.is_warm,
       .is_relayed = !send.helper_regions.empty()});
  target.OnSent(request.object, now);
  limits_.OnSent(target.Number(), now);
  return send;
}

Step RequestPath::Retry(Request& request, MonotonicTime now) {
  if (const auto blocked = crashes_.BlockedFor(request.fingerprint, now)) {
    return RequestFailure{.reason = FailureReason::kRequestBlocked,
                          .is_not_run = !request.may_have_run,
                          .retry_after = blocked};
  }
  if (const auto refusal = CheckRegions(request, now)) {
    return *refusal;
  }
  const std::optional<Placement> placement =
      Place(request, request.allowed_regions, now);
  if (request.delivered_attempts >= request.route->max_attempts || !placement ||
      placement->expected > request.deadline - now) {
    return RefuseRetry(request, placement, now);
  }
  // A send that never reached a target does not use the retry limit that all
  // hosts share.
  if (request.delivered_attempts > 0 &&
      !RetryBudgetOf(request.service).TryTake(share_, now)) {
    return RefuseRetry(request, placement, now);
  }
  return Send(request, *placement, now);
}

// Targets that reject part of their requests although they have free slots are
// no reason for the caller to wait. The retry limit binds this host's sends;
// the caller's own retry is a new request.
RequestFailure RequestPath::RefuseRetry(
    const Request& request,
    const std::optional<Placement>& placement,
    MonotonicTime now) {
  RequestFailure failure =
      RefuseWithoutTarget(request, FailureReason::kRetriesExhausted, now);
  failure.is_not_run = !request.may_have_run;
  const bool has_room =
      placement && placement->expected_wait <= kMaxWaitWithRoom;
  if (has_room && failure.reason == FailureReason::kRetriesExhausted) {
    failure.retry_after = FromSeconds(std::lerp(kMinRetryAfterWithRoomSeconds,
                                                kMaxRetryAfterWithRoomSeconds,
                                                random_.NextUnit()));
  }
  return failure;
}

Step RequestPath::OnAttemptEnd(RequestTicket ticket,
                               AttemptNumber attempt_number,
                               AttemptEnd end,
                               MonotonicTime now) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return AwaitAttempt{};
  }
  Request& request = found->second;
  Attempt& attempt = request.attempts.at(attempt_number - 1);
  if (!attempt.is_open) {
    return AwaitAttempt{};
  }
  attempt.is_open = false;
  RecordOutcome(request, attempt, end, now);
  if (ReachedTarget(end)) {
    ++request.delivered_attempts;
  }
  request.may_have_run = request.may_have_run || MayHaveRun(end);
  if (end == AttemptEnd::kAnswered) {
    // Server errors are excluded: a target may send one without running the
    // request.
    crashes_.OnAnswered(request.fingerprint, now);
    const PassOn pass_on{
        .attempt = attempt_number,
        .abandoned = AbandonOvertakenAttempts(request, attempt_number, now)};
    requests_.erase(found);
    return pass_on;
  }
  if (end == AttemptEnd::kTargetFailed) {
    request.failed_answer = attempt_number;
  }

  const bool may_repeat =
      request.route->kind == routing::RequestKind::kIdempotent;
  const bool has_run =
      request.may_have_run || request.failed_answer.has_value();
  if (has_run && !may_repeat) {
    return Finish(ticket, request,
                  {.reason = FailureReason::kMayHaveRun, .is_not_run = false},
                  now);
  }
  const bool has_open_attempt =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& other) { return other.is_open; });
  if (has_open_attempt) {
    return AwaitAttempt{};
  }
  if (end == AttemptEnd::kNoHelper) {
    reach_.OnNoHelper(now);
  }
  // The other hosts have been asked, and this one reaches no target.
  Step step =
      end == AttemptEnd::kNoHelper
          ? Step(RequestFailure{.reason = FailureReason::kTargetsOutOfReach,
                                .is_not_run = !request.may_have_run,
                                .retry_after = RetryAfter(Duration(0))})
          : Retry(request, now);
  if (const auto* const failure = std::get_if<RequestFailure>(&step)) {
    return Finish(ticket, request, *failure, now);
  }
  return step;
}

Step RequestPath::Finish(RequestTicket ticket,
                         Request& request,
                         const RequestFailure& failure,
                         MonotonicTime now) {
  // A target's own response is more informative than this host's, even if it
  // reports a failure.
  Step step = failure;
  if (request.failed_answer) {
    step = PassOn{.attempt = *request.failed_answer,
                  .abandoned = AbandonOpenAttempts(request)};
  }
  AbandonOpenAttempts(request);
  const auto ended = requests_.extract(ticket);
  if (std::holds_alternative<RequestFailure>(step) && failure.is_not_run) {
    GiveTokenBack(ended.mapped(), now);
  }
  return step;
}

Step RequestPath::OnSlow(RequestTicket ticket, MonotonicTime now) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return AwaitAttempt{};
  }
  Request& request = found->second;
  const auto sends = static_cast<std::uint32_t>(request.attempts.size());
  if (sends >= request.route->max_attempts || sends >= 2 ||
      crashes_.BlockedFor(request.fingerprint, now) ||
      CheckRegions(request, now)) {
    return AwaitAttempt{};
  }
  const std::optional<Placement> placement =
      Place(request, request.allowed_regions, now);
  const Duration max_queue_wait = MaxQueueWait(request);
  if (!placement || placement->expected > request.deadline - now ||
      placement->expected_wait > max_queue_wait ||
      !RetryBudgetOf(request.service).TryTake(share_, now)) {
    return AwaitAttempt{};
  }
  return Send(request, *placement, now);
}

RequestFailure RequestPath::OnTimeout(RequestTicket ticket, MonotonicTime now) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return {.reason = FailureReason::kTimedOut, .is_not_run = false};
  }
  Request& request = found->second;
  if (request.waits_for_token) {
    const RequestFailure failure = EndTokenWait(request, now);
    requests_.erase(found);
    return failure;
  }
  for (Attempt& attempt : request.attempts) {
    if (attempt.is_open) {
      attempt.is_open = false;
      RecordOutcome(request, attempt, AttemptEnd::kTimedOut, now);
    }
  }
  requests_.erase(found);
  return {.reason = FailureReason::kTimedOut, .is_not_run = false};
}

void RequestPath::OnCallerGone(RequestTicket ticket, MonotonicTime now) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.waits_for_token) {
    (void)EndTokenWait(found->second, now);
  }
  AbandonOpenAttempts(found->second);
  requests_.erase(found);
}

std::vector<AttemptNumber> RequestPath::AbandonOvertakenAttempts(
    Request& request,
    AttemptNumber answered,
    MonotonicTime now) {
  std::vector<AttemptNumber> overtaken;
  for (Attempt& attempt : request.attempts) {
    TargetState* const target = targets_.Find(attempt.target);
    // A host that is cut off, or its helper, may be the reason.
    const bool is_evidence = attempt.is_open && attempt.number < answered &&
                             !attempt.is_relayed && !reach_.IsCutOff();
    if (is_evidence && target != nullptr) {
      attempt.is_open = false;
      overtaken.push_back(attempt.number);
      target->OnOvertaken(now);
    }
  }
  const std::vector<AttemptNumber> others = AbandonOpenAttempts(request);
  overtaken.insert(overtaken.end(), others.begin(), others.end());
  return overtaken;
}

std::vector<AttemptNumber> RequestPath::AbandonOpenAttempts(Request& request) {
  std::vector<AttemptNumber> abandoned;
  for (Attempt& attempt : request.attempts) {
    if (!attempt.is_open) {
      continue;
    }
    attempt.is_open = false;
    abandoned.push_back(attempt.number);
    if (TargetState* const target = targets_.Find(attempt.target)) {
      target->OnAbandoned();
    }
  }
  return abandoned;
}

retries::RetryBudget& RequestPath::RetryBudgetOf(const ServiceName& service) {
  return retry_budgets_
      .try_emplace(service,
                   retries::RetryBudget::Options{.limit = options_.retry_limit})
      .first->second;
}

retries::RetryCounts RequestPath::RetryCounts() const {
  retries::RetryCounts counts;
  for (const auto& [service, budget] : retry_budgets_) {
    counts += budget.Counts();
  }
  return counts;
}

Duration RequestPath::SpreadRetryAfter(Duration wait) {
  const double longest = std::min(ToSeconds(wait), kMaxRetryAfterSeconds);
  return FromSeconds(kMinRetryAfterSeconds + longest * random_.NextUnit());
}

Duration RequestPath::RetryAfter(Duration wait) {
  const double seconds = kMinRetryAfterSeconds + ToSeconds(wait) +
                         kRetryAfterSpreadSeconds * random_.NextUnit();
  return FromSeconds(std::min(seconds, kMaxRetryAfterSeconds));
}

}  // namespace medlarcroft::request_path
