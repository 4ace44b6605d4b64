#include "medlarcroft/decision/request_scheduler.h"

#include <algorithm>

#include "medlarcroft/core/target_rest.h"

namespace medlarcroft::decision {
namespace {

constexpr Duration kNoTargetRetryAfter = std::chrono::seconds(1);
constexpr Duration kUnpacedRetryAfter = std::chrono::seconds(1);

}  // namespace

RequestScheduler::RequestScheduler(const SchedulerOptions& options,
                                   ports::RandomSource& random)
    : options_(options),
      random_(random),
      placement_(MakePlacementStrategy(options.placement)) {}

RequestScheduler::RequestScheduler(const SchedulerOptions& options,
                                   ports::RandomSource& random,
                                   ports::SlotSource& slots)
    : RequestScheduler(options, random) {
  targets_.SetSlotSource(slots);
}

void RequestScheduler::Configure(std::span<const ServiceConfig> services,
                                 MonotonicTime now) {
  if (retry_share_.hosts == 0)
    retry_share_ = {.hosts = 1, .known_since = now};
  for (ServiceState& state : services_)
    state.is_configured = false;

  std::vector<ServiceTargets> targets;
  for (const ServiceConfig& config : services) {
    const auto [found, is_new] = service_indexes_.try_emplace(
        config.service, static_cast<ServiceIndex>(services_.size()));
    if (is_new)
      services_.emplace_back(config, options_);

    ServiceState& state = services_[found->second];
    state.config = config;
    state.is_configured = true;
    state.latency.SetHint(config.request_class.expected_service_time);
    state.queue.Configure(config.brands);
    targets.push_back(
        {.service = found->second,
         .expected_service_time = config.request_class.expected_service_time,
         .targets = config.targets});
  }
  targets_.Configure(targets, options_.cold_ramp, now);

  requests_.ForEach([&](RequestState& request) {
    ServiceState& service = services_[request.service];
    request.flow = service.queue.FlowOf(request.brand);
    if (request.is_queued && !service.is_configured) {
      requests_.SetTimer(request, now);
    }
  });
}

Admission RequestScheduler::Submit(const RequestDescription& description,
                                   MonotonicTime now) {
  const std::optional<ServiceIndex> index = FindService(description.service);
  if (!index)
    return Refusal{.reason = RefusalReason::kUnknownService};

  ServiceState& service = services_[*index];
  service.demand.Add(now);
  if (description.is_shifted_in)
    service.shifted_in.Add(now);

  const FairQueue::FlowIndex flow = service.queue.FlowOf(description.brand);
  const Duration time_left =
      description.time_left.value_or(service.config.request_class.deadline);
  AdmissionInputs inputs = AdmissionInputsFor(*index, flow, time_left, now);
  inputs.is_shifted_in = description.is_shifted_in;
  const AdmissionResult result = Admit(inputs);
  if (result.refusal)
    return Refuse(*index, *result.refusal, result, now);

  RequestState& request = requests_.Add(*index);
  request.flow = flow;
  request.brand = description.brand;
  request.deadline = now + time_left;
  if (!result.must_wait) {
    if (auto dispatch = TryDispatch(request, DispatchKind::kFirst, now)) {
      service.queue.Charge(flow);
      return *dispatch;
    }
  }
  return Enqueue(request, /*at_front=*/false, now);
}

std::vector<AttemptId> RequestScheduler::Cancel(RequestTicket ticket,
                                                MonotonicTime /*now*/) {
  RequestState* request = requests_.Find(ticket);
  if (request == nullptr)
    return {};

  if (request->is_queued) {
    services_[request->service].queue.Remove(request->flow, ticket);
    request->is_queued = false;
  }
  requests_.ClearTimer(*request);
  request->is_answered = true;
  std::vector<AttemptId> running = request->RunningAttempts();
  if (running.empty())
    requests_.Erase(ticket);
  return running;
}

RunState RequestScheduler::RunStateOf(RequestTicket ticket) const {
  const RequestState* request = requests_.Find(ticket);
  if (request == nullptr || !request->RunningAttempts().empty())
    return RunState::kUnknown;
  return request->run_state;
}

std::vector<Action> RequestScheduler::Advance(MonotonicTime now) {
  std::vector<Action> actions;
  targets_.Advance(now);
  while (RequestState* request = requests_.PopDue(now)) {
    if (request->is_queued) {
      Expire(*request, now, actions);
    } else {
      Hedge(*request, now, actions);
    }
  }
  ExpireUnservableRequests(now, actions);
  DispatchQueued(now, actions);
  return actions;
}

std::optional<MonotonicTime> RequestScheduler::NextWake() const {
  if (NextBackloggedService())
    return MonotonicTime::min();

  const MonotonicTime next =
      std::min(requests_.NextTimer().value_or(MonotonicTime::max()),
               targets_.NextChange());
  if (next == MonotonicTime::max())
    return std::nullopt;
  return next;
}

AdmissionInputs RequestScheduler::AdmissionInputsFor(ServiceIndex service,
                                                     FairQueue::FlowIndex flow,
                                                     Duration time_left,
                                                     MonotonicTime now) const {
  const ServiceState& state = services_[service];
  const std::uint32_t usable = targets_.UsableSlots(service);
  return {.has_live_target = usable > 0 || targets_.HasLiveTarget(service, now),
          .has_free_target = !targets_.Available(service).empty(),
          .usable_slots = usable,
          .outstanding = state.outstanding,
          .queued = state.queue.Size(),
          .brand_queued = state.queue.FlowSize(flow),
          .brand_share = state.queue.ShareOf(flow),
          .service_time_mean = state.latency.Mean(),
          .service_time_p95 = state.latency.Percentile95(),
          .time_left = time_left,
          .class_deadline = state.config.request_class.deadline,
          .queue_limit = state.config.request_class.queue_limit,
          .reserved_headroom = state.config.reserved_headroom,
          .max_queued = options_.max_queued,
          .queue_bound = options_.queue_bound};
}

Refusal RequestScheduler::Refuse(ServiceIndex service,
                                 RefusalReason reason,
                                 const AdmissionResult& result,
                                 MonotonicTime now) {
  ServiceState& state = services_[service];
  state.refused.Add(now);
  Refusal refusal{.reason = reason};
  // The deadline is too short regardless of the load, so a retry cannot help.
  if (reason == RefusalReason::kDeadlineTooShort && !result.must_wait) {
    return refusal;
  }

  if (!options_.is_retry_after_paced) {
    refusal.retry_after = kUnpacedRetryAfter;
    return refusal;
  }

  const auto resting = reason == RefusalReason::kNoTarget
                           ? targets_.AllResting(service, now)
                           : std::nullopt;
  if (resting) {
    const Duration spread =
        PartOf(CallerReturnSpread(resting->shortest_rest), random_.NextUnit());
    refusal.reason = RefusalReason::kTargetsResting;
    refusal.retry_after = state.pacer.Next(
        now, resting->shortest_rest + spread,
        resting->slots / std::max(ToSeconds(state.latency.Mean()), 1e-6),
        random_);
    return refusal;
  }

  const std::uint32_t usable = targets_.UsableSlots(service);
  const Duration not_before =
      usable == 0
          ? kNoTargetRetryAfter
          : std::max(Duration(0), result.predicted_wait - result.wait_limit);
  const double rate = usable / std::max(ToSeconds(state.latency.Mean()), 1e-6);
  refusal.retry_after = state.pacer.Next(now, not_before, rate, random_);
  return refusal;
}

Queued RequestScheduler::Enqueue(RequestState& request,
                                 bool at_front,
                                 MonotonicTime now) {
  ServiceState& service = services_[request.service];
  MonotonicTime give_up_at = request.deadline;
  if (options_.queue_bound == QueueBound::kTime) {
    const AdmissionInputs inputs = AdmissionInputsFor(
        request.service, request.flow, request.deadline - now, now);
    give_up_at = std::min(now + service.config.request_class.queue_limit,
                          request.deadline - ExecutionTimeReserve(inputs));
    requests_.SetTimer(request, give_up_at);
  }

  request.is_queued = true;
  if (at_front) {
    service.queue.PushFront(request.flow, request.ticket);
  } else {
    service.queue.Push(request.flow, request.ticket);
  }
  return {.ticket = request.ticket, .give_up_at = give_up_at};
}

std::optional<Dispatch> RequestScheduler::TryDispatch(RequestState& request,
                                                      DispatchKind kind,
                                                      MonotonicTime now) {
  // Targets that have already been tried are used again only for queued
  // requests, if no other target has a free slot.
  for (const AttemptState& attempt : request.attempts) {
    targets_.HideUntilRefresh(attempt.target);
  }
  std::optional<TargetIndex> target = TakeSlot(request.service, now);
  for (const AttemptState& attempt : request.attempts) {
    targets_.Refresh(attempt.target, now);
  }
  const bool may_reuse_target =
      kind != DispatchKind::kHedge && request.is_queued;
  if (!target && may_reuse_target)
    target = TakeSlot(request.service, now);
  if (!target)
    return std::nullopt;

  ++services_[request.service].outstanding;
  ChargeService(request.service);
  const AttemptId id{
      .ticket = request.ticket,
      .number = static_cast<std::uint32_t>(request.attempts.size()) + 1};
  request.attempts.push_back({.id = id, .target = *target, .started_at = now});
  if (kind != DispatchKind::kHedge)
    SetHedgeTimer(request, now);
  return Dispatch{.attempt = id,
                  .target = targets_.At(*target).config.name,
                  .deadline = request.deadline,
                  .kind = kind};
}

std::optional<TargetIndex> RequestScheduler::TakeSlot(ServiceIndex service,
                                                      MonotonicTime now) {
  while (!targets_.Available(service).empty()) {
    const TargetIndex target =
        placement_->Choose(targets_.Available(service), targets_, now, random_);
    // A failed call removes the target from the list of available targets.
    if (targets_.TryTake(target, service, now))
      return target;
  }
  return std::nullopt;
}

void RequestScheduler::SetHedgeTimer(RequestState& request, MonotonicTime now) {
  const ServiceState& service = services_[request.service];
  const catalogue::RequestClass& request_class = service.config.request_class;
  requests_.ClearTimer(request);
  if (!options_.is_hedging_enabled || !request_class.may_hedge)
    return;
  if (!request_class.IsIdempotent() || !service.latency.IsMeasured())
    return;

  requests_.SetTimer(request, now + service.latency.Percentile95());
}

void RequestScheduler::Expire(RequestState& request,
                              MonotonicTime now,
                              std::vector<Action>& actions) {
  ServiceState& service = services_[request.service];
  service.queue.Remove(request.flow, request.ticket);

  RefusalReason reason = RefusalReason::kWaitedTooLong;
  if (!service.is_configured) {
    reason = RefusalReason::kUnknownService;
  } else if (!targets_.HasLiveTarget(request.service, now)) {
    reason = RefusalReason::kNoTarget;
  }
  Refusal refusal = Refuse(request.service, reason, {.must_wait = true}, now);
  refusal.run_state = request.run_state;
  actions.emplace_back(Expiry{.ticket = request.ticket, .refusal = refusal});
  requests_.Erase(request.ticket);
}

void RequestScheduler::ExpireUnservableRequests(MonotonicTime now,
                                                std::vector<Action>& actions) {
  // If every target is leaving, waiting cannot help, so the callers are refused
  // immediately.
  for (ServiceIndex service = 0; service < services_.size(); ++service) {
    ServiceState& state = services_[service];
    if (state.queue.IsEmpty() || targets_.UsableSlots(service) > 0 ||
        targets_.HasLiveTarget(service, now)) {
      continue;
    }
    while (const auto ticket = state.queue.Pop()) {
      Expire(*requests_.Find(*ticket), now, actions);
    }
  }
}

void RequestScheduler::DispatchQueued(MonotonicTime now,
                                      std::vector<Action>& actions) {
  while (const auto index = NextBackloggedService()) {
    ServiceState& service = services_[*index];
    RequestState& request = *requests_.Find(*service.queue.Pop());
    const DispatchKind kind =
        request.attempts.empty() ? DispatchKind::kFirst : DispatchKind::kRetry;
    const auto dispatch = TryDispatch(request, kind, now);
    if (!dispatch) {
      service.queue.PushFront(request.flow, request.ticket);
      continue;
    }
    request.is_queued = false;
    actions.emplace_back(*dispatch);
  }
}

std::optional<ServiceIndex> RequestScheduler::NextBackloggedService() const {
  std::optional<ServiceIndex> next;
  for (ServiceIndex service = 0; service < services_.size(); ++service) {
    const ServiceState& state = services_[service];
    if (state.queue.IsEmpty() || targets_.Available(service).empty())
      continue;
    if (!next || state.start_tag < services_[*next].start_tag)
      next = service;
  }
  return next;
}

void RequestScheduler::ChargeService(ServiceIndex service) {
  // Services that share targets get equal slot time. With equal request counts,
  // a service with long requests would occupy nearly all slots.
  ServiceState& state = services_[service];
  state.start_tag = std::max(state.start_tag, service_virtual_time_);
  service_virtual_time_ = state.start_tag;
  state.start_tag += ToSeconds(state.latency.Mean());
}

std::optional<ServiceIndex> RequestScheduler::FindService(
    const ServiceName& service) const {
  const auto found = service_indexes_.find(service);
  if (found == service_indexes_.end())
    return std::nullopt;
  if (!services_[found->second].is_configured)
    return std::nullopt;
  return found->second;
}

}  // namespace medlarcroft::decision
