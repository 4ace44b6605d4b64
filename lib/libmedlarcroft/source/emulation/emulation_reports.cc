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
// hosts learn of it only from responses.
constexpr Duration kLimitPropagationTime = std::chrono::milliseconds(500);
constexpr Duration kLimitUnit = std::chrono::seconds(1);
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
    ConnectReportSinks(host);
  }
  AdvanceRateLimits();
}

void Emulation::ConnectReportSinks(std::size_t host) {
  hosts_[host]->SetReportSinks(
      {.on_crash =
           [this, host](const request_path::CrashReport& report) {
             SendToOtherHosts(host, [this, report](EmulatedHost& other) {
               other.Path().Crashes().OnReport(report, events_.Now());
             });
           },
       .on_held =
           [this, host](Duration delay) {
             events_.After(delay, [this, host] {
               hosts_[host]->Path().Crashes().Advance(events_.Now());
             });
           },
       .on_limit =
           [this, host](const request_path::LimitReport& report) {
             SendToOtherHosts(host, [this, report](EmulatedHost& other) {
               other.Path().OnLimitReport(report, events_.Now());
             });
           }});
}

void Emulation::AdvanceRateLimits() {
  for (const std::vector<std::size_t>& region : hosts_by_region_) {
    for (const std::size_t host : region) {
      request_path::LimitHosts hosts{
          .own_hash = HostHash(host),
          .own_region = RegionName(hosts_[host]->Region()),
          .known_in_region = hosts_[host]->Sharing().HostsInRegion(),
          .known_hosts = hosts_[host]->Sharing().Share().hosts,
          .has_share = hosts_[host]->Sharing().Share().Of(kLimitUnit,
                                                          events_.Now()) > 0};
      for (const std::size_t other : region) {
        if (other == host ||
            (!is_partitioned_[host] && !is_partitioned_[other])) {
          hosts.live_in_region.push_back(HostHash(other));
        }
      }
      hosts_[host]->Path().Limits().SetHosts(std::move(hosts), events_.Now());
      hosts_[host]->Path().Limits().Advance(events_.Now());
    }
  }
  events_.After(kLimitUpdatePeriod, [this] { AdvanceRateLimits(); });
}

void Emulation::SendToOtherHosts(
    std::size_t host,
    const std::function<void(EmulatedHost&)>& deliver) {
  for (std::size_t other = 0; other < hosts_.size(); ++other) {
    if (other == host || is_partitioned_[host] || is_partitioned_[other] ||
        has_ended_[other]) {
      continue;
    }
    const bool is_same_region =
        hosts_[other]->Region() == hosts_[host]->Region();
    const Duration latency = is_same_region
                                 ? deployment_.intra_region_latency
                                 : deployment_.inter_region_latency +
                                       peer_updates::kReportBatchDelay;
    events_.After(
        latency + peer_updates::kReportBatchDelay + peer_updates::kRelayPeriod,
        [this, other, deliver] { deliver(*hosts_[other]); });
  }
}

void Emulation::SendCrashingRequest(const EmulatedFault& fault) {
  const auto request_class = std::ranges::find_if(
      deployment_.request_classes, [&](const EmulatedRequestClass& candidate) {
        return fault.service.empty() || candidate.service == fault.service;
      });
  if (Elapsed() >= fault.until || fault.strength <= 0 ||
      request_class == deployment_.request_classes.end()) {
    return;
  }
  const std::size_t region = random_.NextBelow(deployment_.regions.size());
  Caller caller =
      MakeCaller(static_cast<std::size_t>(request_class -
                                          deployment_.request_classes.begin()),
                 region);
  caller.fingerprint = request_path::RequestFingerprint::Of({"crash"});
  caller.crashes_targets = true;
  SendToHost(caller);
  events_.After(FromSeconds(1.0 / fault.strength),
                [this, &fault] { SendCrashingRequest(fault); });
}

void Emulation::CrashTarget(std::size_t target) {
  TargetInstance& instance = targets_[target];
  if (instance.is_unreachable || instance.has_crashed) {
    return;
  }
  instance.has_crashed = true;
  instance.target->Restart();
  metrics_.OnCrash();
  const auto number = request_path::NumberOf(instance.record.Identity());
  for (const auto& [active, attempt] :
       std::exchange(instance.accepted_attempts, {})) {
    AttemptState& state = active->attempts.at(attempt);
    if (state.work == 0 || state.is_abandoned || active->is_over) {
      continue;
    }
    state.work = 0;
    const Duration latency = LatencyTo(hosts_[active->host]->Region(), target);
    // The host sees the connection drop. It records a crash once its reconnect
    // is refused, a round trip later.
    events_.After(latency, [this, active = active, attempt = attempt] {
      EndAttempt(active, attempt, AttemptEnd::kLost);
    });
    events_.After(3 * latency, [this, active = active, number, latency] {
      hosts_[active->host]->Path().Crashes().OnCrash(
          active->caller.fingerprint, number, events_.Now(), 2 * latency);
    });
  }
  events_.After(kRestartDelay, [this, target] { RestartTarget(target); });
}

void Emulation::RestartTarget(std::size_t target) {
  TargetInstance& instance = targets_[target];
  instance.has_crashed = false;
  ++instance.record.incarnation;
  for (const EmulatedService& service : deployment_.services) {
    if (service.name == instance.service) {
      instance.record.cold_remaining = service.cold_time;
      instance.cold_until = events_.Now() + service.cold_time;
    }
  }
  RegisterTargets();
}

void Emulation::RegisterTargets() {
  std::vector<request_path::TargetRecord> records;
  for (const TargetInstance& instance : targets_) {
    records.push_back(instance.record);
  }
  for (const auto& host : hosts_) {
    host->Register(records, events_.Now());
  }
}

void Emulation::RecordLimitUse(std::size_t target) {
  TargetInstance& instance = targets_[target];
  const MonotonicTime now = events_.Now();
  if (now - instance.limit_changed_at < kLimitPropagationTime) {
    return;
  }
  instance.arrivals.push_back(now);
  while (now - instance.arrivals.front() > kLimitWindow) {
    instance.arrivals.pop_front();
  }
  const double allowed =
      kLimitTolerance * *instance.limit * ToSeconds(kLimitWindow) + kLimitBurst;
  metrics_.OnLimitUse(static_cast<double>(instance.arrivals.size()) / allowed);
}

void Emulation::SharePlacement(const ActiveRequest& active,
                               const SendAttempt& attempt) {
  for (const std::size_t other : hosts_by_region_[active.caller.region]) {
    if (other == active.host || is_partitioned_[active.host] ||
        is_partitioned_[other]) {
      continue;
    }
    events_.After(deployment_.intra_region_latency,
                  [this, other, target = request_path::NumberOf(attempt.target),
                   object = request_path::ObjectKey(active.caller.object)] {
                    hosts_[other]->Path().OnPlacedByOtherHost(target, object);
                  });
  }
}

void Emulation::ShareLoad(const ActiveRequest& active,
                          const request_path::TargetIdentity& target,
                          const request_path::LoadReport& report) {
  const std::vector<std::size_t>& hosts =
      hosts_by_region_[active.caller.region];
  if (!shares_loads_) {
    return;
  }
  for (const std::size_t other : hosts) {
    if (other == active.host || is_partitioned_[active.host] ||
        is_partitioned_[other]) {
      continue;
    }
    // On average, a load report waits for half of each delay on its way.
    const Duration waits =
        peer_updates::UsesDirectDelivery(hosts.size() - 1)
            ? peer_updates::kReportBatchDelay / 2
            : peer_updates::kReportBatchDelay / 2 + peer_updates::kRelayPeriod;
    events_.After(deployment_.intra_region_latency + waits, [this, other,
                                                             target, report] {
      hosts_[other]->Path().OnReport(target, report, events_.Now());
    });
  }
}

}  // namespace medlarcroft::emulation
