#include "medlarcroft/emulation/emulation.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>
#include <variant>

namespace medlarcroft::emulation {

namespace {

using request_path::AttemptEnd;
using request_path::PassOn;
using request_path::RequestFailure;
using request_path::RequestTicket;
using request_path::SendAttempt;
using request_path::Step;

// What runs when the last callers have come may still end.
constexpr Duration kAfterwards = std::chrono::seconds(12);
// Callers that no route or host answers come back after this.
constexpr Duration kUsualReturn = std::chrono::milliseconds(200);
// Of the time that a caller has left, the most that it waits to come back.
constexpr double kLongestReturn = 1.0 / 3;
// From the arrival of a crashing request until its target crashes.
constexpr Duration kCrashDelay = std::chrono::milliseconds(80);
// A target that is gone is noticed as the connection fails.
constexpr Duration kConnectLimit = std::chrono::milliseconds(250);

double Phase(Duration at, Duration period) {
  return ToSeconds(at) / std::max(ToSeconds(period), 1e-3);
}

}  // namespace

Emulation::Emulation(const EmulatedDeployment& deployment,
                     const EmulationOptions& options)
    : deployment_(deployment),
      tells_placed_(options.tells_placed),
      tells_loads_(options.tells_loads),
      began_(events_.Now()),
      random_(options.seed),
      hosts_by_region_(deployment.regions.size()),
      figures_(deployment.window) {
  MakeTargets();
  MakeHosts(options);
  ConnectReportSinks();
  PlanFaults();
}

void Emulation::MakeTargets() {
  for (const EmulatedService& service : deployment_.services) {
    for (const EmulatedTargets& group : service.targets) {
      for (std::uint32_t number = 0; number < group.count; ++number) {
        const double factor =
            1.0 + service.uneven_by * (2.0 * random_.NextUnit() - 1.0);
        const std::string id =
            service.name + "-" + group.region + "-" + std::to_string(number);
        target_places_[TargetName(id)] = targets_.size();
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

void Emulation::MakeHosts(const EmulationOptions& options) {
  std::vector<request_path::TargetRecord> records;
  for (const Placed& placed : targets_) {
    records.push_back(placed.record);
  }
  for (std::size_t region = 0; region < deployment_.regions.size(); ++region) {
    const EmulatedRegion& place = deployment_.regions[region];
    for (std::uint32_t number = 0; number < place.hosts; ++number) {
      hosts_by_region_[region].push_back(hosts_.size());
      hosts_.push_back(std::make_unique<EmulatedHost>(
          deployment_, place.name, options.path, random_.Next()));
      hosts_.back()->Register(records, events_.Now());
    }
  }
  is_cut_.resize(hosts_.size());
}

double Emulation::DemandPart(std::size_t region) const {
  double all = 0;
  for (const EmulatedRegion& other : deployment_.regions) {
    all += other.demand;
  }
  return deployment_.regions[region].demand / all;
}

double Emulation::RateAt(std::size_t kind,
                         std::size_t region,
                         Duration at) const {
  const double turns = Phase(at, deployment_.wave_period) +
                       deployment_.regions[region].wave_phase;
  const double wave =
      1.0 + deployment_.wave_swing * std::sin(2.0 * std::numbers::pi * turns);
  return deployment_.kinds[kind].requests_per_second * DemandPart(region) *
         wave * more_callers_;
}

double Emulation::Exponential() {
  return -std::log(1.0 - random_.NextUnit());
}

double Emulation::Normal() {
  const double radius = std::sqrt(2.0 * Exponential());
  return radius * std::cos(2.0 * std::numbers::pi * random_.NextUnit());
}

// The next arrival by thinning: as if at the highest rate that the wave has,
// and kept in proportion.
void Emulation::ArriveLater(std::size_t kind, std::size_t region) {
  const double highest = deployment_.kinds[kind].requests_per_second *
                         DemandPart(region) * more_callers_ *
                         (1.0 + deployment_.wave_swing);
  events_.After(FromSeconds(Exponential() / highest), [=, this] {
    const Duration at = Elapsed();
    if (at > deployment_.length) {
      return;
    }
    if (random_.NextUnit() * highest < RateAt(kind, region, at)) {
      Ask(MakeCaller(kind, region));
    }
    ArriveLater(kind, region);
  });
}

Emulation::Caller Emulation::MakeCaller(std::size_t kind, std::size_t region) {
  const EmulatedKind& asked = deployment_.kinds[kind];
  const double factor = std::max(0.05, 1.0 + asked.work_spread * Normal());
  return {.kind = &asked,
          .region = region,
          .object = deployment_.regions[region].name + "/" +
                    std::to_string(random_.NextBelow(asked.objects)),
          .work = FromSeconds(ToSeconds(asked.work) * factor),
          .arrived = events_.Now(),
          .returns_left = asked.returns,
          .fingerprint =
              request_path::RequestFingerprint::FromValue(++last_fingerprint_)};
}

EmulationFigures Emulation::Run() {
  for (std::size_t kind = 0; kind < deployment_.kinds.size(); ++kind) {
    for (std::size_t region = 0; region < deployment_.regions.size();
         ++region) {
      ArriveLater(kind, region);
    }
  }
  events_.RunUntil(began_ + deployment_.length + kAfterwards);
  for (const Placed& placed : targets_) {
    figures_.OnRuns(placed.target->Runs(), placed.target->WarmRuns());
  }
  return figures_;
}

void Emulation::Ask(const Caller& caller) {
  events_.After(deployment_.to_callers, [this, caller] {
    const std::vector<std::size_t>& hosts = hosts_by_region_[caller.region];
    const std::size_t host = hosts[random_.NextBelow(hosts.size())];
    const Duration spent = events_.Now() - caller.arrived;
    const request_path::CallerRequest request{
        .host = std::string(EmulatedSite()),
        .target = PathOf(*caller.kind),
        .object = caller.object,
        .time_left = caller.kind->deadline - spent,
        .fingerprint = caller.fingerprint};
    const request_path::RequestStart begun =
        hosts_[host]->Path().Begin(request, events_.Now());
    if (begun.ticket == 0) {
      OnRefused(caller, std::get<RequestFailure>(begun.step));
      return;
    }
    const auto running = std::make_shared<Running>(
        Running{.caller = caller, .host = host, .ticket = begun.ticket});
    events_.After(begun.time_left, [this, running] {
      if (!running->is_over) {
        (void)hosts_[running->host]->Path().OnTimeout(running->ticket,
                                                      events_.Now());
        Finish(running);
        Conclude(running->caller, false, false);
      }
    });
    Carry(running, begun.step);
  });
}

void Emulation::Carry(const RunningPointer& running, const Step& step) {
  if (const auto* const attempt = std::get_if<SendAttempt>(&step)) {
    SendTo(running, *attempt);
    return;
  }
  if (std::holds_alternative<PassOn>(step)) {
    Finish(running);
    Conclude(running->caller, true, false);
    return;
  }
  if (const auto* const ending = std::get_if<RequestFailure>(&step)) {
    Finish(running);
    OnRefused(running->caller, *ending);
  }
}

Duration Emulation::WayTo(const std::string& from, std::size_t to) const {
  return targets_[to].record.domain.Value() == from
             ? deployment_.within_region
             : deployment_.between_regions;
}

void Emulation::SendTo(const RunningPointer& running,
                       const SendAttempt& attempt) {
  const std::size_t target = target_places_.at(attempt.target.name);
  EmulatedHost& host = *hosts_[running->host];
  const Duration way = WayTo(host.Region(), target);
  running->sends[attempt.attempt] = {.target = target};
  if (attempt.attempt == 1) {
    figures_.OnPlaced(host.Region(), attempt.region.Value(), Elapsed());
  } else {
    figures_.OnFurtherSend();
  }
  if (attempt.should_announce && tells_placed_) {
    TellPlaced(*running, attempt);
  }
  host.Path().OnConnected(attempt.region, 2 * way);
  if (attempt.hedge_after) {
    events_.After(*attempt.hedge_after, [this, running] {
      if (!running->is_over) {
        Carry(running, hosts_[running->host]->Path().OnSlow(running->ticket,
                                                            events_.Now()));
      }
    });
  }
  events_.After(way, [this, running, number = attempt.attempt, way] {
    Deliver(running, number, way);
  });
}

void Emulation::Deliver(const RunningPointer& running,
                        request_path::AttemptNumber attempt,
                        Duration way) {
  Send& send = running->sends.at(attempt);
  if (send.is_abandoned) {
    return;
  }
  Placed& placed = targets_[send.target];
  if (placed.is_gone) {
    events_.After(kConnectLimit, [this, running, attempt] {
      EndSend(running, attempt, AttemptEnd::kNeverSent);
    });
    return;
  }
  if (placed.limit) {
    RecordLimitUse(send.target);
  }
  const bool is_lost = random_.NextUnit() < placed.lost_part;
  const auto done = [this, running, attempt, way,
                     is_lost](const request_path::LoadReport& report) {
    running->sends.at(attempt).work = 0;
    events_.After(way, [this, running, attempt, is_lost, report] {
      const Send& ended = running->sends.at(attempt);
      if (!is_lost) {
        const request_path::TargetIdentity target =
            targets_[ended.target].record.Identity();
        hosts_[running->host]->Path().OnReport(target, report, events_.Now());
        TellLoad(*running, target, report);
        hosts_[running->host]->Path().OnRateLimit(running->ticket, attempt,
                                                  targets_[ended.target].limit,
                                                  events_.Now());
      }
      EndSend(running, attempt,
              is_lost ? AttemptEnd::kLost : AttemptEnd::kAnswered);
    });
  };
  const auto work =
      placed.target->Arrive({.object = running->caller.object,
                             .time = running->caller.work,
                             .warm_part = running->caller.kind->warm_work},
                            done);
  if (work) {
    send.work = *work;
    placed.accepted_sends.emplace_back(running, attempt);
    if (running->caller.crashes_targets) {
      events_.After(kCrashDelay,
                    [this, target = send.target] { CrashTarget(target); });
    }
    return;
  }
  events_.After(way, [this, running, attempt] {
    EndSend(running, attempt, AttemptEnd::kNotRun);
  });
}

void Emulation::EndSend(const RunningPointer& running,
                        request_path::AttemptNumber attempt,
                        AttemptEnd end) {
  Send& send = running->sends.at(attempt);
  send.work = 0;
  if (running->is_over || send.is_abandoned) {
    return;
  }
  Carry(running, hosts_[running->host]->Path().OnAttemptEnd(
                     running->ticket, attempt, end, events_.Now()));
}

void Emulation::Finish(const RunningPointer& running) {
  running->is_over = true;
  for (auto& [number, send] : running->sends) {
    CancelSend(send, WayTo(hosts_[running->host]->Region(), send.target));
  }
}

void Emulation::CancelSend(Send& send, Duration way) {
  send.is_abandoned = true;
  if (send.work == 0) {
    return;
  }
  events_.After(way, [this, target = send.target, work = send.work] {
    targets_[target].target->Cancel(work);
  });
}

void Emulation::OnRefused(const Caller& caller, const RequestFailure& ending) {
  const bool may_return =
      caller.returns_left > 0 &&
      (ending.is_not_run ||
       caller.kind->kind == routing::RequestKind::kIdempotent);
  const Duration left =
      caller.kind->deadline - (events_.Now() - caller.arrived);
  const Duration longest = FromSeconds(kLongestReturn * ToSeconds(left));
  const Duration wait =
      std::min(ending.retry_after.value_or(kUsualReturn), longest);
  if (!may_return || left <= Duration(0)) {
    Conclude(caller, false, ending.is_not_run);
    return;
  }
  Caller again = caller;
  --again.returns_left;
  events_.After(deployment_.to_callers + wait, [this, again] { Ask(again); });
}

void Emulation::Conclude(const Caller& caller,
                         bool is_served,
                         bool is_refused) {
  if (caller.crashes_targets) {
    return;
  }
  const Duration took = events_.Now() + deployment_.to_callers - caller.arrived;
  figures_.OnOutcome({.kind = caller.kind,
                      .region = deployment_.regions[caller.region].name,
                      .arrived = caller.arrived - began_,
                      .took = took,
                      .is_served = is_served && took <= caller.kind->deadline,
                      .is_refused = is_refused});
}

}  // namespace medlarcroft::emulation
