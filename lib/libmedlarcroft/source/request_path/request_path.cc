#include "medlarcroft/request_path/request_path.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarcroft::request_path {

namespace {

// Another target is tried beside a slow one after this many times the expected
// time, and no sooner than the least.
constexpr double kSlowOverExpected = 2.5;
constexpr Duration kLeastSlow = std::chrono::milliseconds(150);
// What a target is told ends before the caller's own time: its answer needs a
// moment to come back.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(5);
// Callers that come back are spread over this much beyond the wait.
constexpr double kReturnSpreadSeconds = 0.4;
constexpr double kLeastReturnSeconds = 0.2;
// Longest Retry-After that is said: room changes sooner.
constexpr double kLongestReturnSeconds = 2.0;

bool IsRun(AttemptEnd end) {
  return end == AttemptEnd::kLost || end == AttemptEnd::kTimedOut;
}

bool HasArrived(AttemptEnd end) {
  return end != AttemptEnd::kNeverSent;
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
      limits_(options.limits, random) {}

RequestStart RequestPath::Begin(const CallerRequest& request,
                                MonotonicTime now) {
  RequestStart begun;
  if (!routes_.IsConfigured()) {
    begun.step = RequestFailure{.reason = FailureReason::kNotConfigured,
                                .retry_after = ReturnTime(Duration(0))};
    return begun;
  }
  begun.route = routes_.Find(request.host, request.target);
  if (!begun.route) {
    RequestFailure ending{.reason = FailureReason::kNoRoute};
    if (is_news_doubtful_) {
      ending = {.reason = FailureReason::kNoRouteYet,
                .retry_after = ReturnTime(Duration(0))};
    }
    begun.step = ending;
    return begun;
  }
  begun.service = routes_.ChoosePart(*begun.route);
  begun.time_left = std::min(request.time_left.value_or(begun.route->timeout),
                             begun.route->timeout);
  AllowanceOf(begun.service).OnRequest(now);
  if (const auto blocked = crashes_.BlockedFor(request.fingerprint, now)) {
    begun.step = RequestFailure{.reason = FailureReason::kRequestBlocked,
                                .retry_after = blocked};
    return begun;
  }

  Request state{.route = begun.route,
                .service = begun.service,
                .object = ObjectKey(request.object),
                .fingerprint = request.fingerprint,
                .deadline = now + begun.time_left};
  begun.step = SendFirst(state, now);
  if (std::holds_alternative<SendAttempt>(begun.step)) {
    begun.ticket = ++last_ticket_;
    requests_.emplace(begun.ticket, std::move(state));
  }
  return begun;
}

std::optional<Placement> RequestPath::Place(const Request& request,
                                            std::span<const RegionName> regions,
                                            MonotonicTime now) {
  std::vector<TargetIdentity> excluded;
  for (const Attempt& attempt : request.attempts) {
    excluded.push_back(attempt.target);
  }
  return ChooseTarget(
      targets_.Usable(request.service),
      {.object = request.object,
       .is_sticky = request.route->is_sticky,
       .times = TimesOf(request.service, request.route->latency_objective),
       .distances = distances_,
       .loads = loads_[request.service],
       .cold_allowance = ColdAllowance(request.service),
       .limits = &limits_,
       .excluded = excluded,
       .allowed_regions = regions,
       .options = options_.placement},
      now, options_.rule == nullptr ? soonest_answer_ : *options_.rule);
}

Duration RequestPath::LongestWait(const Request& request) const {
  return FromSeconds(options_.max_queue_wait *
                     ToSeconds(request.route->latency_objective));
}

RegionSlots RequestPath::SlotsOf(const ServiceName& service) {
  RegionSlots slots;
  for (const RegionTargets& region : targets_.Usable(service)) {
    slots[region.region] = region.slots;
  }
  return slots;
}

std::optional<Placement> RequestPath::PlaceByPlan(const Request& request,
                                                  MonotonicTime now) {
  const auto& allowed = request.route->allowed_regions;
  if (!allowed.empty() || !options_.uses_region_plan) {
    return Place(request, allowed, now);
  }
  if (targets_.Usable(request.service).empty()) {
    return std::nullopt;
  }
  RegionPlan& plan = plans_
                         .try_emplace(request.service, options_.own_region,
                                      options_.region_plan)
                         .first->second;
  plan.Advance(SlotsOf(request.service), now);
  const std::uint64_t key =
      request.object.IsEmpty() ? random_.Next() : request.object.Value();
  const RegionName region = plan.Choose(key);
  const std::optional<Placement> planned =
      Place(request, std::span(&region, 1), now);
  const Duration max_queue_wait = LongestWait(request);
  if (planned && planned->expected_wait <= max_queue_wait) {
    plan.Observe(region, std::nullopt);
    return planned;
  }
  const std::optional<Placement> best = Place(request, {}, now);
  std::optional<RegionName> with_room;
  if (best && best->expected_wait <= max_queue_wait) {
    with_room = best->target->Region();
  }
  plan.Observe(region, with_room);
  return planned ? planned : best;
}

Step RequestPath::SendFirst(Request& request, MonotonicTime now) {
  const std::optional<Placement> placement = PlaceByPlan(request, now);
  if (!placement) {
    return RequestFailure{.reason = FailureReason::kNoTarget,
                          .retry_after = ReturnTime(Duration(0))};
  }
  // Failure: refusing by the expected time denies routes of short time limits
  // altogether while nothing of them is warm. Symptom: a route that was added
  // serves nobody. So only what can't be in time at best is refused.
  if (placement->soonest > request.deadline - now) {
    return RequestFailure{.reason = FailureReason::kDeadlineUnreachable,
                          .retry_after = ReturnTime(placement->expected_wait),
                          .best = placement};
  }
  const Duration max_queue_wait = LongestWait(request);
  if (placement->expected_wait > max_queue_wait) {
    return RequestFailure{
        .reason = FailureReason::kOverloaded,
        .retry_after = ReturnTime(placement->expected_wait - max_queue_wait),
        .best = placement};
  }
  return Send(request, *placement, now);
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
      .region = target.Region(),
      .round_trip = distances_.RoundTrip(target.Region()),
      .time_left = std::max(request.deadline - now - kAnswerMargin,
                            Duration(std::chrono::milliseconds(1))),
      .may_repeat = may_repeat,
      .should_announce =
          request.route->is_sticky && target.IsNews(request.object, now),
      .placement = placement,
      .report_age = target.ReportAge(now)};
  if (may_repeat) {
    send.hedge_after =
        std::max(FromSeconds(kSlowOverExpected * ToSeconds(placement.expected)),
                 kLeastSlow);
  }
  request.attempts.push_back(
      {.number = number,
       .target = record.Identity(),
       .sent_at = now,
       .round_trip = distances_.RoundTrip(target.Region()),
       .expected_wait = placement.expected_wait,
       .load_ahead = placement.estimated_load,
       .is_warm = placement.is_warm});
  target.OnSent(request.object, now);
  limits_.OnSent(target.Number(), now);
  return send;
}

Step RequestPath::SendAgain(Request& request, MonotonicTime now) {
  if (const auto blocked = crashes_.BlockedFor(request.fingerprint, now)) {
    return RequestFailure{.reason = FailureReason::kRequestBlocked,
                          .is_not_run = !request.may_have_run,
                          .retry_after = blocked};
  }
  const RequestFailure spent{.reason = FailureReason::kRetriesExhausted,
                             .is_not_run = !request.may_have_run,
                             .retry_after = ReturnTime(Duration(0))};
  if (request.arrivals >= request.route->max_attempts) {
    return spent;
  }
  const std::optional<Placement> placement =
      Place(request, request.route->allowed_regions, now);
  if (!placement || placement->expected > request.deadline - now) {
    return spent;
  }
  // A send that never arrived drew nothing from what all hosts share.
  if (request.arrivals > 0 &&
      !AllowanceOf(request.service).TryTake(host_count_, now)) {
    return spent;
  }
  return Send(request, *placement, now);
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
  Learn(request, attempt, end, now);
  if (HasArrived(end)) {
    ++request.arrivals;
  }
  request.may_have_run = request.may_have_run || IsRun(end);
  if (end == AttemptEnd::kAnswered) {
    // Server errors are excluded: a target may send one without running the
    // request.
    crashes_.OnAnswered(request.fingerprint, now);
    const PassOn pass_on{.attempt = attempt_number,
                         .abandoned = Abandon(request)};
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
    return Conclude(
        ticket, request,
        {.reason = FailureReason::kMayHaveRun, .is_not_run = false});
  }
  const bool has_open =
      std::any_of(request.attempts.begin(), request.attempts.end(),
                  [](const Attempt& other) { return other.is_open; });
  if (has_open) {
    return AwaitAttempt{};
  }
  Step step = SendAgain(request, now);
  if (const auto* const ending = std::get_if<RequestFailure>(&step)) {
    return Conclude(ticket, request, *ending);
  }
  return step;
}

Step RequestPath::Conclude(RequestTicket ticket,
                           Request& request,
                           const RequestFailure& ending) {
  // A target's own answer, though it reports a failure, says more than ours.
  Step step = ending;
  if (request.failed_answer) {
    step = PassOn{.attempt = *request.failed_answer,
                  .abandoned = Abandon(request)};
  }
  Abandon(request);
  requests_.erase(ticket);
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
      crashes_.BlockedFor(request.fingerprint, now)) {
    return AwaitAttempt{};
  }
  const std::optional<Placement> placement =
      Place(request, request.route->allowed_regions, now);
  const Duration max_queue_wait = LongestWait(request);
  if (!placement || placement->expected > request.deadline - now ||
      placement->expected_wait > max_queue_wait ||
      !AllowanceOf(request.service).TryTake(host_count_, now)) {
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
  for (Attempt& attempt : request.attempts) {
    if (attempt.is_open) {
      attempt.is_open = false;
      Learn(request, attempt, AttemptEnd::kTimedOut, now);
    }
  }
  requests_.erase(found);
  return {.reason = FailureReason::kTimedOut, .is_not_run = false};
}

void RequestPath::OnCallerGone(RequestTicket ticket) {
  const auto found = requests_.find(ticket);
  if (found == requests_.end()) {
    return;
  }
  Abandon(found->second);
  requests_.erase(found);
}

std::vector<AttemptNumber> RequestPath::Abandon(Request& request) {
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

RetryBudgetShare& RequestPath::AllowanceOf(const ServiceName& service) {
  return allowances_.try_emplace(service, options_.retry_limit).first->second;
}

double RequestPath::AttemptsLeft(const ServiceName& service,
                                 MonotonicTime now) {
  return AllowanceOf(service).Left(host_count_, now);
}

ServiceTimes& RequestPath::TimesOf(const ServiceName& service,
                                   Duration latency_objective) {
  return times_.try_emplace(service, latency_objective).first->second;
}

std::uint32_t RequestPath::ColdAllowance(const ServiceName& service) const {
  const routing::ServiceRules* const rules = routes_.FindService(service);
  if (rules == nullptr) {
    return 1;
  }
  const double of_all = rules->cold_requests_per_second * options_.cold_over +
                        options_.cold_extra;
  return static_cast<std::uint32_t>(of_all / host_count_);
}

Duration RequestPath::ReturnTime(Duration wait) {
  const double seconds = kLeastReturnSeconds + ToSeconds(wait) +
                         kReturnSpreadSeconds * random_.NextUnit();
  return FromSeconds(std::min(seconds, kLongestReturnSeconds));
}

}  // namespace medlarcroft::request_path
