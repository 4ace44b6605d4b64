// Emulation: hosts that are cut off from all targets or restart, and the list
// of hosts.
#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "medlarcroft/emulation/emulation.h"

namespace medlarcroft::emulation {

namespace {

using request_path::AttemptEnd;
using request_path::HelperSign;
using request_path::RelayHelper;

// Hosts have run for longer than any window of a limit when a run begins.
constexpr Duration kKnownBefore = std::chrono::minutes(10);
constexpr Duration kProbePeriod = std::chrono::milliseconds(100);
constexpr Duration kListPeriod = std::chrono::milliseconds(250);
constexpr std::size_t kMaxHelpers = 4;
constexpr Duration kColdUnit = std::chrono::seconds(1);

void ForgetBefore(std::deque<MonotonicTime>& events, MonotonicTime oldest) {
  while (!events.empty() && events.front() <= oldest) {
    events.pop_front();
  }
}

AttemptEnd EndOf(HelperSign sign) {
  return sign == HelperSign::kMissedTarget ? AttemptEnd::kNeverSent
                                           : AttemptEnd::kNoHelper;
}

}  // namespace

void Emulation::MakeHosts() {
  std::vector<request_path::TargetRecord> records;
  for (const TargetInstance& instance : targets_) {
    records.push_back(instance.record);
  }
  for (std::size_t region = 0; region < deployment_.regions.size(); ++region) {
    const EmulatedRegion& region_settings = deployment_.regions[region];
    for (std::uint32_t number = 0; number < region_settings.hosts; ++number) {
      hosts_by_region_[region].push_back(hosts_.size());
      hosts_.push_back(std::make_unique<EmulatedHost>(
          deployment_, region_settings.name, path_options_, random_.Next(),
          events_.Now() - kKnownBefore));
      hosts_.back()->Register(records, events_.Now());
    }
  }
  is_partitioned_.resize(hosts_.size());
  has_ended_.resize(hosts_.size());
  cut_off_since_.resize(hosts_.size());
  listings_.resize(hosts_.size());
  active_by_host_.resize(hosts_.size());
  UpdateHostLists();
}

void Emulation::SetCutOffHosts(const EmulatedFault& fault, bool is_on) {
  refusal_delay_ = FromSeconds(fault.strength);
  double accumulated = 0;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    accumulated += fault.fraction;
    if (accumulated < 1.0) {
      continue;
    }
    accumulated -= 1.0;
    cut_off_since_[host] = is_on ? std::optional(events_.Now()) : std::nullopt;
  }
  if (is_on) {
    ProbeReach();
  }
}

void Emulation::ProbeReach() {
  bool may_be_cut_off = false;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    EmulatedHost* const process = hosts_[host].get();
    may_be_cut_off = may_be_cut_off || cut_off_since_[host] ||
                     process->Path().Reach().IsCutOff();
    const auto probes = process->Path().StartReachProbes(
        FailureDomainName(process->Region()), events_.Now());
    for (const request_path::ReachCandidate& probe : probes) {
      const std::size_t target = target_indices_.at(TargetName(probe.address));
      const bool is_reached = !cut_off_since_[host] &&
                              !targets_[target].is_unreachable &&
                              !targets_[target].has_crashed;
      const Duration delay = is_reached
                                 ? 2 * LatencyTo(process->Region(), target)
                                 : refusal_delay_;
      events_.After(delay, [this, host, process, probe, is_reached] {
        if (hosts_[host].get() == process) {
          process->Path().OnReachProbed(probe.target, is_reached,
                                        events_.Now());
        }
      });
    }
  }
  if (may_be_cut_off) {
    events_.After(kProbePeriod, [this] { ProbeReach(); });
  }
}

void Emulation::FailDirectly(const ActiveRequestPointer& active,
                             request_path::AttemptNumber attempt) {
  events_.After(refusal_delay_, [this, active, attempt] {
    const std::size_t target = active->attempts.at(attempt).target;
    if (!active->is_over) {
      hosts_[active->host]->Path().OnConnectFailed(
          targets_[target].record.Identity(), events_.Now());
    }
    EndAttempt(active, attempt, AttemptEnd::kNeverSent);
  });
}

std::vector<RelayHelper> Emulation::HelpersOf(std::size_t host,
                                              const RegionName& region) const {
  std::vector<RelayHelper> helpers;
  for (std::size_t other = 0; other < hosts_.size(); ++other) {
    const std::string& of_other = hosts_[other]->Region();
    const bool is_in_region = region.IsEmpty()
                                  ? of_other != hosts_[host]->Region()
                                  : of_other == region.Value();
    if (other != host && is_in_region && !has_ended_[other]) {
      helpers.push_back({.host = HostName(std::to_string(other)),
                         .failure_domain = FailureDomainName(of_other)});
    }
  }
  return helpers;
}

HelperSign Emulation::AskHelper(std::size_t helper, std::size_t target) {
  if (hosts_[helper]->Path().Reach().IsCutOff()) {
    return HelperSign::kCutOff;
  }
  const TargetInstance& instance = targets_[target];
  if (cut_off_since_[helper] || instance.is_unreachable ||
      instance.has_crashed) {
    hosts_[helper]->Path().OnConnectFailed(instance.record.Identity(),
                                           events_.Now());
    return HelperSign::kMissedTarget;
  }
  return HelperSign::kWorks;
}

void Emulation::SendThroughHelper(const ActiveRequestPointer& active,
                                  const request_path::SendAttempt& attempt,
                                  std::size_t tried) {
  EmulatedHost& host = *hosts_[active->host];
  const std::optional<RelayHelper> chosen = host.Helpers().Choose(
      attempt.helper_regions,
      [this, &active](const RegionName& region) {
        return HelpersOf(active->host, region);
      },
      events_.Now());
  if (!chosen || tried >= kMaxHelpers) {
    events_.After(Duration(0), [this, active, number = attempt.attempt] {
      EndAttempt(active, number, AttemptEnd::kNoHelper);
    });
    return;
  }
  const auto helper =
      static_cast<std::size_t>(std::stoul(chosen->host.Value()));
  const std::size_t target = active->attempts.at(attempt.attempt).target;
  const Duration hop = hosts_[helper]->Region() == host.Region()
                           ? deployment_.intra_region_latency
                           : deployment_.inter_region_latency;
  const Duration latency = LatencyTo(hosts_[helper]->Region(), target);
  events_.After(hop, [this, active, attempt, tried, helper, target, hop,
                      latency, chosen = *chosen] {
    if (active->is_over) {
      return;
    }
    EmulatedHost& sender = *hosts_[active->host];
    const HelperSign sign = AskHelper(helper, target);
    sender.Helpers().OnEnd(chosen, sign, events_.Now());
    if (sign == HelperSign::kWorks) {
      sender.Path().OnRelayed();
      events_.After(latency,
                    [this, active, number = attempt.attempt,
                     way = hop + latency] { Deliver(active, number, way); });
      return;
    }
    if (sign == HelperSign::kCutOff) {
      SendThroughHelper(active, attempt, tried + 1);
      return;
    }
    events_.After(hop, [this, active, number = attempt.attempt, sign] {
      EndAttempt(active, number, EndOf(sign));
    });
  });
}

void Emulation::RestartNextHost(const EmulatedFault& fault, std::size_t count) {
  if (Elapsed() >= fault.until || fault.strength <= 0) {
    return;
  }
  const auto affected = static_cast<std::size_t>(
      fault.fraction * static_cast<double>(hosts_.size()));
  if (affected > 0) {
    RestartHost(count % affected);
  }
  events_.After(FromSeconds(1.0 / fault.strength),
                [this, &fault, count] { RestartNextHost(fault, count + 1); });
}

void Emulation::SetEndedHosts(double fraction, bool is_on) {
  double accumulated = 0;
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    accumulated += fraction;
    if (accumulated < 1.0) {
      continue;
    }
    accumulated -= 1.0;
    has_ended_[host] = is_on;
    if (is_on) {
      EndRequestsOf(host);
    } else {
      RestartHost(host);
    }
  }
}

std::optional<std::size_t> Emulation::ChooseHost(std::size_t region) {
  std::vector<std::size_t> running;
  const auto is_running = [this](std::size_t host) {
    return !has_ended_[host];
  };
  std::ranges::copy_if(hosts_by_region_[region], std::back_inserter(running),
                       is_running);
  if (running.empty()) {
    for (const std::vector<std::size_t>& hosts : hosts_by_region_) {
      std::ranges::copy_if(hosts, std::back_inserter(running), is_running);
    }
  }
  if (running.empty()) {
    return std::nullopt;
  }
  return running[random_.NextBelow(running.size())];
}

void Emulation::EndRequestsOf(std::size_t host) {
  for (const auto& pointer : std::exchange(active_by_host_[host], {})) {
    if (const auto active = pointer.lock(); active && !active->is_over) {
      Finish(active);
      RecordOutcome(active->caller, false, false);
    }
  }
}

void Emulation::RestartHost(std::size_t host) {
  EndRequestsOf(host);
  const std::string region = hosts_[host]->Region();
  hosts_[host] = std::make_unique<EmulatedHost>(
      deployment_, region, path_options_, random_.Next(), events_.Now());
  ConnectReportSinks(host);
  listings_[host].view = {};
  std::vector<request_path::TargetRecord> records;
  for (const TargetInstance& instance : targets_) {
    records.push_back(instance.record);
    // What an entry states is what was left when its target wrote it.
    records.back().cold_remaining =
        std::max(instance.cold_until - events_.Now(), Duration(0));
  }
  hosts_[host]->Register(records, events_.Now());
}

void Emulation::SetHostListLost(bool is_lost) {
  is_host_list_lost_ = is_lost;
  if (is_lost) {
    for (HostListing& listing : listings_) {
      listing.has_row = false;
    }
  }
}

void Emulation::UpdateHostLists() {
  const auto rows = static_cast<std::uint32_t>(
      std::ranges::count_if(listings_, &HostListing::has_row));
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    HostListing& listing = listings_[host];
    membership::HostListView& view = listing.view;
    view.is_current = !is_host_list_lost_;
    if (view.is_current) {
      view.is_known = true;
      view.listed = rows + (listing.has_row ? 0 : 1);
      view.listed_in_region = 0;
      for (std::size_t other = 0; other < hosts_.size(); ++other) {
        const bool is_listed = other == host || listings_[other].has_row;
        const bool is_near = hosts_[other]->Region() == hosts_[host]->Region();
        view.listed_in_region += is_listed && is_near ? 1 : 0;
      }
      if (!listing.has_row) {
        listing.has_row = true;
        view.row_written_at = events_.Now();
      }
    }
    hosts_[host]->UpdateHostList(view, events_.Now());
  }
  events_.After(kListPeriod, [this] { UpdateHostLists(); });
}

void Emulation::RecordArrival(const ActiveRequestPointer& active,
                              std::size_t target) {
  const MonotonicTime now = events_.Now();
  TargetInstance& instance = targets_[target];
  if (now < instance.cold_until) {
    const auto service = std::ranges::find(
        deployment_.services, instance.service, &EmulatedService::name);
    instance.cold_arrivals.push_back(now);
    ForgetBefore(instance.cold_arrivals, now - kColdUnit);
    const double bears =
        service->cold_requests_per_second * path_options_.cold_over +
        path_options_.cold_extra;
    metrics_.OnColdUse(static_cast<double>(instance.cold_arrivals.size()) /
                       std::max(bears, 1.0));
  }
  if (++active->arrivals == 1) {
    return;
  }
  const retries::RetryLimit& limit = path_options_.retry_limit;
  RepeatWindow& window = repeat_windows_[instance.service];
  window.repeats.push_back(now);
  ForgetBefore(window.requests, now - 2 * limit.window);
  ForgetBefore(window.repeats, now - limit.window);
  metrics_.OnRepeatUse(
      static_cast<double>(window.repeats.size()) /
      (limit.ratio * static_cast<double>(CountedRequests(window.requests)) +
       limit.fixed));
}

std::size_t Emulation::CountedRequests(
    const std::deque<MonotonicTime>& requests) const {
  const Duration window = path_options_.retry_limit.window;
  std::size_t most = 0;
  for (const Duration back : {Duration(0), window / 2, window}) {
    const MonotonicTime end = events_.Now() - back;
    const auto first = std::ranges::upper_bound(requests, end - window);
    const auto last = std::ranges::upper_bound(requests, end);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

}  // namespace medlarcroft::emulation
