#include "medlarcroft/emulation/emulation.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace medlarcroft::emulation {

namespace {

using request_path::AttemptEnd;
using request_path::FailureReason;
using request_path::PassOn;
using request_path::RequestFailure;
using request_path::RequestTicket;
using request_path::SendAttempt;
using request_path::Step;

// Requests that are in progress after the last arrival have this long to end.
constexpr Duration kDrainTime = std::chrono::seconds(12);
// Delay before a caller's retry when the response has no Retry-After, as when
// no route or host is available.
constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(200);
// Longest delay before a retry, as a fraction of the time left until the
// caller's deadline.
constexpr double kMaxRetryDelayFraction = 1.0 / 3;
// Time from the arrival of a crashing request until its target crashes.
constexpr Duration kCrashDelay = std::chrono::milliseconds(80);
// Longer than any crash takes: a crashing request gets no answer.
constexpr Duration kCrashingWork = std::chrono::seconds(10);
// Time after which a connection to an unreachable target fails.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

// A cut counts from when hosts can know of it.
constexpr Duration kCutNoticeTime = std::chrono::seconds(1);

}  // namespace

Emulation::Emulation(const EmulatedDeployment& deployment,
                     const EmulationOptions& options)
    : deployment_(deployment),
      path_options_(options.path),
      shares_placements_(options.shares_placements),
      shares_loads_(options.shares_loads),
      start_time_(events_.Now()),
      random_(options.seed),
      hosts_by_region_(deployment.regions.size()),
      metrics_(deployment.window) {
  MakeTargets();
  MakeHosts();
  ConnectReportSinks();
  PlanFaults();
}

void Emulation::MakeTargets() {
  for (const EmulatedService& service : deployment_.services) {
    for (const EmulatedTargets& group : service.targets) {
      for (std::uint32_t number = 0; number < group.count; ++number) {
        const double factor =
            1.0 + service.speed_variation * (2.0 * random_.NextUnit() - 1.0);
        const std::string id =
            service.name + "-" + group.region + "-" + std::to_string(number);
        target_indices_[TargetName(id)] = targets_.size();
        targets_.push_back(
            {.record = {.id = TargetName(id),
                        .service = ServiceName(service.name),
                        .address = id,
                        .domain = FailureDomainName(group.region),
                        .slots = service.slots},
             .service = service.name,
             .target =
                 std::make_unique<EmulatedTarget>(events_, service, factor)});
      }
    }
  }
}

EmulationMetrics Emulation::Run() {
  for (std::size_t class_index = 0;
       class_index < deployment_.request_classes.size(); ++class_index) {
    for (std::size_t region = 0; region < deployment_.regions.size();
         ++region) {
      ScheduleNextArrival(class_index, region);
    }
  }
  events_.RunUntil(start_time_ + deployment_.duration + kDrainTime);
  for (const TargetInstance& instance : targets_) {
    metrics_.OnRuns(instance.target->Runs(), instance.target->WarmRuns());
  }
  return metrics_;
}

void Emulation::SendToHost(const Caller& caller) {
  events_.After(deployment_.caller_latency, [this, caller] {
    repeat_windows_[caller.request_class->service].requests.push_back(
        events_.Now());
    const std::optional<std::size_t> chosen = ChooseHost(caller.region);
    if (!chosen) {
      OnRefused(caller, {.reason = FailureReason::kNotConfigured});
      return;
    }
    const std::size_t host = *chosen;
    const Duration spent = events_.Now() - caller.arrived;
    const request_path::CallerRequest request{
        .host = std::string(EmulatedHttpHost()),
        .target = PathOf(*caller.request_class),
        .object = caller.object,
        .time_left = caller.request_class->deadline - spent,
        .fingerprint = caller.fingerprint};
    const request_path::RequestStart begun =
        hosts_[host]->Path().Begin(request, events_.Now());
    if (begun.ticket == 0) {
      OnRefused(caller, std::get<RequestFailure>(begun.step));
      return;
    }
    const auto active = std::make_shared<ActiveRequest>(
        ActiveRequest{.caller = caller, .host = host, .ticket = begun.ticket});
    active->is_host_cut_off =
        cut_off_since_[host] &&
        events_.Now() - *cut_off_since_[host] > kCutNoticeTime;
    active_by_host_[host].push_back(active);
    events_.After(begun.time_left, [this, active] {
      if (!active->is_over) {
        (void)hosts_[active->host]->Path().OnTimeout(active->ticket,
                                                     events_.Now());
        if (active->is_host_cut_off) {
          metrics_.OnCutOffOutcome(false);
        }
        Finish(active);
        RecordOutcome(active->caller, false, false);
      }
    });
    ExecuteStep(active, begun.step);
  });
}

void Emulation::ExecuteStep(const ActiveRequestPointer& active,
                            const Step& step) {
  if (const auto* const attempt = std::get_if<SendAttempt>(&step)) {
    StartAttempt(active, *attempt);
    return;
  }
  if (std::holds_alternative<PassOn>(step)) {
    if (active->is_host_cut_off) {
      metrics_.OnCutOffOutcome(true);
    }
    Finish(active);
    RecordOutcome(active->caller, true, false);
    return;
  }
  if (const auto* const ending = std::get_if<RequestFailure>(&step)) {
    if (active->is_host_cut_off) {
      metrics_.OnCutOffOutcome(false);
    }
    Finish(active);
    OnRefused(active->caller, *ending);
  }
}

Duration Emulation::LatencyTo(const std::string& from, std::size_t to) const {
  return targets_[to].record.domain.Value() == from
             ? deployment_.intra_region_latency
             : deployment_.inter_region_latency;
}

void Emulation::StartAttempt(const ActiveRequestPointer& active,
                             const SendAttempt& attempt) {
  const std::size_t target = target_indices_.at(attempt.target.name);
  EmulatedHost& host = *hosts_[active->host];
  const Duration latency = LatencyTo(host.Region(), target);
  active->attempts[attempt.attempt] = {.target = target};
  if (attempt.attempt == 1) {
    metrics_.OnPlacement(host.Region(), attempt.region.Value(), Elapsed());
  } else {
    metrics_.OnExtraAttempt();
  }
  if (attempt.should_announce && shares_placements_) {
    SharePlacement(*active, attempt);
  }
  if (attempt.hedge_after) {
    events_.After(*attempt.hedge_after, [this, active] {
      if (!active->is_over) {
        ExecuteStep(active, hosts_[active->host]->Path().OnSlow(active->ticket,
                                                                events_.Now()));
      }
    });
  }
  if (!attempt.helper_regions.empty()) {
    SendThroughHelper(active, attempt, 0);
    return;
  }
  if (cut_off_since_[active->host]) {
    FailDirectly(active, attempt.attempt);
    return;
  }
  host.Path().OnConnected(attempt.region, 2 * latency, events_.Now());
  events_.After(latency, [this, active, number = attempt.attempt, latency] {
    Deliver(active, number, latency);
  });
}

void Emulation::Deliver(const ActiveRequestPointer& active,
                        request_path::AttemptNumber attempt,
                        Duration latency) {
  AttemptState& state = active->attempts.at(attempt);
  if (state.is_abandoned) {
    return;
  }
  TargetInstance& instance = targets_[state.target];
  if (instance.is_unreachable || instance.has_crashed) {
    events_.After(kConnectTimeout, [this, active, attempt] {
      EndAttempt(active, attempt, AttemptEnd::kNeverSent);
    });
    return;
  }
  RecordArrival(active, state.target);
  if (instance.limit) {
    RecordLimitUse(state.target);
  }
  RecordUnwantedRequest(state.target, active->host);
  if (instance.rest) {
    TurnAway(active, attempt, latency);
    return;
  }
  if (instance.rejection_probability > 0 &&
      random_.NextUnit() < instance.rejection_probability) {
    events_.After(latency, [this, active, attempt] {
      EndAttempt(active, attempt, AttemptEnd::kNotRun);
    });
    return;
  }
  const bool is_lost = random_.NextUnit() < instance.loss_probability;
  const auto done = [this, active, attempt, latency,
                     is_lost](const request_path::LoadReport& report) {
    active->attempts.at(attempt).work = 0;
    events_.After(latency, [this, active, attempt, is_lost, report] {
      const AttemptState& ended = active->attempts.at(attempt);
      if (!is_lost) {
        const request_path::TargetIdentity target =
            targets_[ended.target].record.Identity();
        DeliverNotice(ended.target, active->host);
        hosts_[active->host]->Path().OnReport(target, report, events_.Now());
        ShareLoad(*active, target, report);
        // A host that has restarted uses its tickets again.
        if (!active->is_over) {
          hosts_[active->host]->Path().OnRateLimit(active->ticket, attempt,
                                                   targets_[ended.target].limit,
                                                   events_.Now());
        }
      }
      EndAttempt(active, attempt,
                 is_lost ? AttemptEnd::kLost : AttemptEnd::kAnswered);
    });
  };
  const auto work = instance.target->Submit(
      {.object = active->caller.object,
       .time = active->caller.crashes_targets
                   ? std::max(active->caller.work, kCrashingWork)
                   : active->caller.work,
       .warm_factor = active->caller.request_class->warm_work_factor},
      done);
  if (work) {
    state.work = *work;
    instance.accepted_attempts.emplace_back(active, attempt);
    if (active->caller.crashes_targets) {
      events_.After(kCrashDelay,
                    [this, target = state.target] { CrashTarget(target); });
    }
    return;
  }
  events_.After(latency, [this, active, attempt] {
    EndAttempt(active, attempt, AttemptEnd::kNotRun);
  });
}

void Emulation::EndAttempt(const ActiveRequestPointer& active,
                           request_path::AttemptNumber attempt,
                           AttemptEnd end) {
  AttemptState& state = active->attempts.at(attempt);
  state.work = 0;
  if (active->is_over || state.is_abandoned) {
    return;
  }
  ExecuteStep(active, hosts_[active->host]->Path().OnAttemptEnd(
                          active->ticket, attempt, end, events_.Now()));
}

void Emulation::Finish(const ActiveRequestPointer& active) {
  active->is_over = true;
  for (auto& [number, state] : active->attempts) {
    CancelAttempt(state,
                  LatencyTo(hosts_[active->host]->Region(), state.target));
  }
}

void Emulation::CancelAttempt(AttemptState& state, Duration latency) {
  state.is_abandoned = true;
  if (state.work == 0) {
    return;
  }
  events_.After(latency, [this, target = state.target, work = state.work] {
    targets_[target].target->Cancel(work);
  });
}

void Emulation::OnRefused(const Caller& caller, const RequestFailure& ending) {
  const bool may_return =
      caller.retries_left > 0 &&
      (ending.is_not_run ||
       caller.request_class->kind == routing::RequestKind::kIdempotent);
  const Duration left =
      caller.request_class->deadline - (events_.Now() - caller.arrived);
  const Duration longest =
      FromSeconds(kMaxRetryDelayFraction * ToSeconds(left));
  const Duration wait =
      std::min(ending.retry_after.value_or(kDefaultRetryDelay), longest);
  if (!may_return || left <= Duration(0)) {
    RecordOutcome(caller, false, ending.is_not_run);
    return;
  }
  Caller again = caller;
  --again.retries_left;
  events_.After(deployment_.caller_latency + wait,
                [this, again] { SendToHost(again); });
}

void Emulation::RecordOutcome(const Caller& caller,
                              bool is_served,
                              bool is_refused) {
  if (caller.crashes_targets) {
    return;
  }
  const Duration took =
      events_.Now() + deployment_.caller_latency - caller.arrived;
  metrics_.OnOutcome(
      {.request_class = caller.request_class,
       .region = deployment_.regions[caller.region].name,
       .arrived = caller.arrived - start_time_,
       .took = took,
       .is_served = is_served && took <= caller.request_class->deadline,
       .is_refused = is_refused});
}

}  // namespace medlarcroft::emulation
