// RequestScheduler: incoming reports on targets, and reports on its own state.
#include <algorithm>

#include "medlarcroft/core/target_rest.h"
#include "medlarcroft/decision/request_scheduler.h"

namespace medlarcroft::decision {
namespace {

constexpr Duration kSilentConnectionGracePeriod = std::chrono::seconds(1);

}  // namespace

void RequestScheduler::OnTargetReport(const TargetName& name,
                                      std::uint32_t outstanding,
                                      Duration age,
                                      MonotonicTime now) {
  const auto index = targets_.Find(name);
  if (!index)
    return;

  TargetState& target = targets_.At(*index);
  const MonotonicTime taken_at = now - age;
  if (target.reported_at && *target.reported_at > taken_at)
    return;

  target.reported_total = outstanding;
  target.reported_by_others =
      outstanding - std::min(outstanding, target.outstanding);
  target.reported_at = taken_at;
}

void RequestScheduler::OnSilentConnection(const TargetName& name,
                                          MonotonicTime now) {
  if (const auto target = targets_.Find(name)) {
    targets_.At(*target).failures_excused_until =
        now + kSilentConnectionGracePeriod;
  }
}

bool RequestScheduler::MarkLeaving(const TargetName& name, MonotonicTime now) {
  const auto target = targets_.Find(name);
  if (!target)
    return false;
  const bool is_known = targets_.At(*target).leaving.IsLeaving(now);
  targets_.MarkLeaving(*target, now);
  return !is_known;
}

void RequestScheduler::MarkStaying(const TargetName& name,
                                   MonotonicTime queried_at,
                                   MonotonicTime now) {
  if (const auto target = targets_.Find(name)) {
    targets_.MarkStaying(*target, queried_at, now);
  }
}

std::optional<MonotonicTime> RequestScheduler::OnTargetRest(
    const TargetName& name,
    Duration rest,
    MonotonicTime now) {
  const auto target = targets_.Find(name);
  if (!target || rest <= Duration(0))
    return std::nullopt;

  const Duration length = std::min(rest, kMaxTargetRest);
  const MonotonicTime until =
      now + length + PartOf(ReturnSpread(length), random_.NextUnit());
  return targets_.Rest(*target, until, now) ? std::optional(until)
                                            : std::nullopt;
}

bool RequestScheduler::IsResting(const TargetName& name,
                                 MonotonicTime now) const {
  const auto target = targets_.Find(name);
  return target && now < targets_.At(*target).rests_until;
}

bool RequestScheduler::MaySend(const TargetName& name,
                               MonotonicTime now) const {
  const auto target = targets_.Find(name);
  return !target || (!targets_.At(*target).leaving.IsLeaving(now) &&
                     now >= targets_.At(*target).rests_until);
}

std::optional<ServiceLoad> RequestScheduler::Load(const ServiceName& service,
                                                  MonotonicTime now) const {
  const auto index = FindService(service);
  if (!index)
    return std::nullopt;
  return LoadOf(*index, now);
}

std::vector<ServiceLoad> RequestScheduler::Loads(MonotonicTime now) const {
  std::vector<ServiceLoad> loads;
  for (ServiceIndex service = 0; service < services_.size(); ++service) {
    if (services_[service].is_configured)
      loads.push_back(LoadOf(service, now));
  }
  return loads;
}

ServiceLoad RequestScheduler::LoadOf(ServiceIndex service,
                                     MonotonicTime now) const {
  const ServiceState& state = services_[service];
  return {.service = state.config.service,
          .demand_per_second = state.demand.PerSecond(now),
          .outstanding = state.outstanding,
          .queued = static_cast<std::uint32_t>(state.queue.Size()),
          .usable_slots = targets_.UsableSlots(service),
          .refused_per_second = state.refused.PerSecond(now),
          .shifted_in_per_second = state.shifted_in.PerSecond(now)};
}

std::vector<TargetObservationReport> RequestScheduler::Observations(
    MonotonicTime now) const {
  std::vector<TargetObservationReport> observations;
  targets_.ForEach([&](const TargetState& target) {
    observations.push_back(
        {.target = target.config.name,
         .is_leaving = target.leaving.IsReportedLeaving(now),
         .is_ejected = target.health.State() != HealthState::kHealthy,
         .outstanding = target.outstanding,
         .latency = target.health.Latency()});
  });
  return observations;
}

std::optional<Explanation> RequestScheduler::Explain(const ServiceName& name,
                                                     MonotonicTime now) const {
  const auto index = FindService(name);
  if (!index)
    return std::nullopt;

  const ServiceState& state = services_[*index];
  const Duration deadline = state.config.request_class.deadline;
  const std::vector<catalogue::BrandShare> flows = state.queue.Flows();
  const auto unnamed = static_cast<FairQueue::FlowIndex>(flows.size() - 1);
  const AdmissionResult result =
      Admit(AdmissionInputsFor(*index, unnamed, deadline, now));

  Explanation explanation{
      .service = name,
      .would_refuse = result.refusal,
      .usable_slots = targets_.UsableSlots(*index),
      .outstanding = state.outstanding,
      .queued = static_cast<std::uint32_t>(state.queue.Size()),
      .service_time_mean = state.latency.Mean(),
      .service_time_p95 = state.latency.Percentile95(),
      .predicted_wait = result.predicted_wait,
      .wait_limit = result.wait_limit,
      .retry_tokens =
          static_cast<double>(state.budget.Remaining(retry_share_, now)),
      .may_hedge_now = MayHedge(*index)};
  for (const TargetIndex target : targets_.Members(*index)) {
    explanation.targets.push_back(ExplainTarget(target, now));
  }
  for (FairQueue::FlowIndex flow = 0; flow < flows.size(); ++flow) {
    explanation.brands.push_back(
        {.brand = flows[flow].brand,
         .weight = flows[flow].weight,
         .queued = static_cast<std::uint32_t>(state.queue.FlowSize(flow)),
         .predicted_wait =
             Admit(AdmissionInputsFor(*index, flow, deadline, now))
                 .predicted_wait});
  }
  return explanation;
}

TargetExplanation RequestScheduler::ExplainTarget(TargetIndex index,
                                                  MonotonicTime now) const {
  const TargetState& target = targets_.At(index);
  TargetExplanation explanation{
      .target = target.config.name,
      .rule = targets_.RuleOf(index, now),
      .slots = target.config.slots,
      .share = target.config.share,
      .usable = target.usable,
      .outstanding = target.outstanding,
      .relative_latency = target.health.RelativeLatency(),
      .failure_ratio = target.health.FailureRatio(),
      .score = PlacementScore(target, target.health.RelativeLatency(), now)};
  if (target.reported_at)
    explanation.report_age = now - *target.reported_at;
  return explanation;
}

}  // namespace medlarcroft::decision
