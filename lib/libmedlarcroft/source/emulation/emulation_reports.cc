// Target crashes, rate limits, and the reports that hosts exchange.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "medlarcroft/emulation/emulation.h"
#include "medlarcroft/peer_updates/update_timing.h"

namespace medlarcroft::emulation {

namespace {

using request_path::AttemptEnd;
using request_path::SendAttempt;

constexpr Duration kRestartDelay = std::chrono::seconds(2);
constexpr Duration kLimitUpdatePeriod = std::chrono::milliseconds(250);
// Requests are not checked against a limit that changed more recently, as
// hosts learn of it only from answers.
constexpr Duration kLimitPropagationTime = std::chrono::milliseconds(500);
constexpr Duration kLimitWindow = std::chrono::seconds(4);
// Tolerated requests per window: kLimitTolerance times the limit, plus
// kLimitBurst.
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitBurst = 5;

std::uint64_t HostHash(std::size_t host) {
  return request_path::ObjectKey(std::to_string(host)).Value();
}

}  // namespace

void Emulation::ConnectReportSinks() {
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    hosts_[host]->SetReportSinks(
        {.on_crash =
             [this, host](const request_path::CrashReport& report) {
               TellOtherHosts(host, [this, report](EmulatedHost& other) {
                 other.Path().Crashes().OnReport(report, events_.Now());
               });
             },
         .on_limit =
             [this, host](const request_path::LimitReport& report) {
               TellOtherHosts(host, [this, report](EmulatedHost& other) {
                 other.Path().OnLimitReport(report, events_.Now());
               });
             }});
  }
  AdvanceRateLimits();
}

void Emulation::AdvanceRateLimits() {
  for (const std::vector<std::size_t>& region : hosts_by_region_) {
    for (const std::size_t host : region) {
      request_path::LimitHosts hosts{
          .own_hash = HostHash(host),
          .own_region = RegionName(hosts_[host]->Region()),
          .known_in_region = region.size(),
          .known_hosts = static_cast<std::uint32_t>(hosts_.size())};
      for (const std::size_t other : region) {
        if (other == host || (!is_cut_[host] && !is_cut_[other])) {
          hosts.live_in_region.push_back(HostHash(other));
        }
      }
      hosts_[host]->Path().Limits().SetHosts(std::move(hosts), events_.Now());
      hosts_[host]->Path().Limits().Advance(events_.Now());
    }
  }
  events_.After(kLimitUpdatePeriod, [this] { AdvanceRateLimits(); });
}

void Emulation::TellOtherHosts(
    std::size_t host,
    const std::function<void(EmulatedHost&)>& deliver) {
  for (std::size_t other = 0; other < hosts_.size(); ++other) {
    if (other == host || is_cut_[host] || is_cut_[other]) {
      continue;
    }
    const bool is_same_region =
        hosts_[other]->Region() == hosts_[host]->Region();
    const Duration way = is_same_region ? deployment_.within_region
                                        : deployment_.between_regions +
                                              peer_updates::kReportBatchDelay;
    events_.After(
        way + peer_updates::kReportBatchDelay + peer_updates::kRelayPeriod,
        [this, other, deliver] { deliver(*hosts_[other]); });
  }
}

void Emulation::AskCrashingRequest(const EmulatedFault& fault) {
  const auto kind =
      std::ranges::find_if(deployment_.kinds, [&](const EmulatedKind& asked) {
        return fault.service.empty() || asked.service == fault.service;
      });
  if (Elapsed() >= fault.until || fault.strength <= 0 ||
      kind == deployment_.kinds.end()) {
    return;
  }
  const std::size_t region = random_.NextBelow(deployment_.regions.size());
  Caller caller = MakeCaller(
      static_cast<std::size_t>(kind - deployment_.kinds.begin()), region);
  caller.fingerprint = request_path::RequestFingerprint::Of({"crash"});
  caller.crashes_targets = true;
  Ask(caller);
  events_.After(FromSeconds(1.0 / fault.strength),
                [this, &fault] { AskCrashingRequest(fault); });
}

void Emulation::CrashTarget(std::size_t target) {
  Placed& placed = targets_[target];
  if (placed.is_gone) {
    return;
  }
  placed.is_gone = true;
  placed.target->Restart();
  figures_.OnCrash();
  const auto number = request_path::NumberOf(placed.record.Identity());
  for (const auto& [running, attempt] :
       std::exchange(placed.accepted_sends, {})) {
    Send& send = running->sends.at(attempt);
    if (send.work == 0 || send.is_abandoned || running->is_over) {
      continue;
    }
    send.work = 0;
    const Duration way = WayTo(hosts_[running->host]->Region(), target);
    // The host sees the connection drop. It records a crash once its reconnect
    // is refused, a round trip later.
    events_.After(way, [this, running = running, attempt = attempt] {
      EndSend(running, attempt, AttemptEnd::kLost);
    });
    events_.After(3 * way, [this, running = running, number] {
      hosts_[running->host]->Path().Crashes().OnCrash(
          running->caller.fingerprint, number, events_.Now());
    });
  }
  events_.After(kRestartDelay, [this, target] { RestartTarget(target); });
}

void Emulation::RestartTarget(std::size_t target) {
  Placed& placed = targets_[target];
  placed.is_gone = false;
  ++placed.record.incarnation;
  RegisterTargets();
}

void Emulation::RegisterTargets() {
  std::vector<request_path::TargetRecord> records;
  for (const Placed& placed : targets_) {
    records.push_back(placed.record);
  }
  for (const auto& host : hosts_) {
    host->Register(records, events_.Now());
  }
}

void Emulation::RecordLimitUse(std::size_t target) {
  Placed& placed = targets_[target];
  const MonotonicTime now = events_.Now();
  if (now - placed.limit_changed_at < kLimitPropagationTime) {
    return;
  }
  placed.arrivals.push_back(now);
  while (now - placed.arrivals.front() > kLimitWindow) {
    placed.arrivals.pop_front();
  }
  const double allowed =
      kLimitTolerance * *placed.limit * ToSeconds(kLimitWindow) + kLimitBurst;
  figures_.OnLimitUse(static_cast<double>(placed.arrivals.size()) / allowed);
}

void Emulation::TellPlaced(const Running& running, const SendAttempt& attempt) {
  for (const std::size_t other : hosts_by_region_[running.caller.region]) {
    if (other == running.host || is_cut_[running.host] || is_cut_[other]) {
      continue;
    }
    events_.After(deployment_.within_region,
                  [this, other, target = request_path::NumberOf(attempt.target),
                   object = request_path::ObjectKey(running.caller.object)] {
                    hosts_[other]->Path().OnPlacedByOtherHost(target, object);
                  });
  }
}

void Emulation::TellLoad(const Running& running,
                         const request_path::TargetIdentity& target,
                         const request_path::LoadReport& report) {
  const std::vector<std::size_t>& hosts =
      hosts_by_region_[running.caller.region];
  if (!tells_loads_) {
    return;
  }
  for (const std::size_t other : hosts) {
    if (other == running.host || is_cut_[running.host] || is_cut_[other]) {
      continue;
    }
    // In the mean a load waits half of each delay on its way.
    const Duration waits =
        peer_updates::UsesDirectDelivery(hosts.size() - 1)
            ? peer_updates::kReportBatchDelay / 2
            : peer_updates::kReportBatchDelay / 2 + peer_updates::kRelayPeriod;
    events_.After(
        deployment_.within_region + waits, [this, other, target, report] {
          hosts_[other]->Path().OnReport(target, report, events_.Now());
        });
  }
}

}  // namespace medlarcroft::emulation
