#include "adapters/entry/target_poller.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarcroft::adapters {

namespace {

/// Targets are 0.5 ms away; a later report is too old to place requests by.
constexpr Duration kPollTimeout = std::chrono::milliseconds(300);

constexpr std::size_t kMaxReportBytes = 4096;

/// Each target gets about one poll a second from all hosts of its failure
/// domain together. A target with 3 to 8 slots should spend its time on
/// requests, not on polls of up to 52 hosts.
constexpr Duration kPollPeriodPerHost = std::chrono::seconds(1);

/// Caps the period: with a longer one, a single host would no longer know the
/// load of its targets.
constexpr std::size_t kMaxHostsCounted = 20;

/// Limits the delay until targets in new routes are polled.
constexpr Duration kMaxPause = std::chrono::milliseconds(500);
constexpr Duration kMinPause = std::chrono::milliseconds(20);

constexpr int kDrainingStatus = 503;

std::optional<std::uint32_t> ParseUint32(const nlohmann::json& value) {
  if (!value.is_number_unsigned() ||
      value.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
    return std::nullopt;
  }
  return value.get<std::uint32_t>();
}

const std::string* AddressOf(const RoutingTable& routes,
                             const TargetName& target) {
  for (const auto& [name, service] : routes.services) {
    const auto address = service.target_addresses.find(target);
    if (address != service.target_addresses.end()) {
      return &address->second;
    }
  }
  return nullptr;
}

}  // namespace

std::optional<TargetReport> ParseTargetReport(std::string_view text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (!document.is_object() || !document.contains("outstanding")) {
    return std::nullopt;
  }
  const auto outstanding = ParseUint32(document["outstanding"]);
  if (!outstanding) {
    return std::nullopt;
  }

  TargetReport report{.outstanding = *outstanding};
  if (const auto draining = document.find("draining");
      draining != document.end()) {
    if (!draining->is_boolean()) {
      return std::nullopt;
    }
    report.is_draining = draining->get<bool>();
  }
  if (const auto age = document.find("age_ms"); age != document.end()) {
    const auto milliseconds = ParseUint32(*age);
    if (!milliseconds) {
      return std::nullopt;
    }
    report.age = std::chrono::milliseconds(*milliseconds);
  }
  return report;
}

bool IsDrainingResponse(const ClientResponse& health) {
  if (health.status != kDrainingStatus) {
    return false;
  }
  const auto document = nlohmann::json::parse(health.body, nullptr, false);
  if (!document.is_object()) {
    return false;
  }
  const auto state = document.find("state");
  return state != document.end() && *state == "draining";
}

Duration PollPeriodFor(std::size_t hosts) {
  return kPollPeriodPerHost *
         std::clamp<std::size_t>(hosts, 1, kMaxHostsCounted);
}

Duration TargetPoller::PollDueTargets() {
  const SharedRoutingTable routes = dependencies_.engine.Routes();
  if (!routes) {
    return kMaxPause;
  }
  const auto periods = PollPeriodsByDomain(*routes);
  const MonotonicTime now = dependencies_.clock.Now();
  MonotonicTime next = now + kMaxPause;
  std::map<TargetName, MonotonicTime> due;
  for (const capacity::SlotLimit& limit : routes->capacity.limits) {
    const auto period = periods.find(limit.failure_domain);
    const std::string* address = AddressOf(*routes, limit.target);
    if (period == periods.end() || address == nullptr ||
        due.contains(limit.target)) {
      continue;
    }

    // Jitter prevents the failure domain's hosts from polling at the same
    // moment. The first poll is at a random time within one period, since many
    // hosts may restart together.
    const double unit = dependencies_.random.NextUnit();
    const auto known = next_poll_at_.find(limit.target);
    MonotonicTime poll_at =
        known == next_poll_at_.end()
            ? now + FromSeconds(ToSeconds(period->second) * unit)
            : known->second;
    if (poll_at <= now) {
      if (dependencies_.engine.MayPoll(limit.target)) {
        PollLoad(limit.target, *address);
      }
      poll_at =
          now + FromSeconds(ToSeconds(period->second) * (0.75 + 0.5 * unit));
    }
    poll_at = std::min(poll_at, now + period->second * 5 / 4);
    due[limit.target] = poll_at;
    next = std::min(next, poll_at);
  }
  next_poll_at_ = std::move(due);
  return std::max<Duration>(next - now, kMinPause);
}

std::map<FailureDomainName, Duration> TargetPoller::PollPeriodsByDomain(
    const RoutingTable& routes) const {
  std::map<FailureDomainName, std::set<HostName>> hosts_by_domain;
  for (const auto& [domain, seat] : dependencies_.capacity.Seats()) {
    hosts_by_domain[domain].insert(dependencies_.host);
  }
  hosts_by_domain[dependencies_.failure_domain].insert(dependencies_.host);
  for (const capacity::Lender& lender : routes.capacity.lenders) {
    for (const auto& [domain, seat] : lender.seats) {
      const auto served = hosts_by_domain.find(domain);
      if (served != hosts_by_domain.end()) {
        served->second.insert(lender.host);
      }
    }
  }

  std::map<FailureDomainName, Duration> periods;
  for (const auto& [domain, hosts] : hosts_by_domain) {
    periods[domain] = PollPeriodFor(hosts.size());
  }
  return periods;
}

void TargetPoller::PollLoad(const TargetName& target,
                            const std::string& address) {
  const MonotonicTime requested_at = dependencies_.clock.Now();
  dependencies_.client.Send(
      {.url = "http://" + address + "/load",
       .timeout = kPollTimeout,
       .max_answer_bytes = kMaxReportBytes},
      [this, target, address, requested_at](const ClientResult& result) {
        OnLoadResponse(target, address, requested_at, result);
      });
}

void TargetPoller::PollHealth(const TargetName& target,
                              const std::string& address) {
  dependencies_.client.Send(
      {.url = "http://" + address + "/health",
       .timeout = kPollTimeout,
       .max_answer_bytes = kMaxReportBytes},
      [this, target](const ClientResult& result) {
        if (IsOk(result) && IsDrainingResponse(ValueOf(result))) {
          dependencies_.engine.MarkLeaving(target);
        }
      });
}

void TargetPoller::OnLoadResponse(const TargetName& target,
                                  const std::string& address,
                                  MonotonicTime requested_at,
                                  const ClientResult& result) {
  if (!IsOk(result)) {
    return;
  }
  const ClientResponse& answer = ValueOf(result);
  const auto report = answer.status == 200 ? ParseTargetReport(answer.body)
                                           : std::optional<TargetReport>();
  if (report) {
    // The target took the count at an unknown time during the round trip.
    const Duration round_trip = dependencies_.clock.Now() - requested_at;
    dependencies_.engine.OnTargetReport(target, report->outstanding,
                                        report->age.value_or(round_trip / 2));
  }
  if (!report || !report->is_draining) {
    PollHealth(target, address);
  } else if (*report->is_draining) {
    dependencies_.engine.MarkLeaving(target);
  } else {
    dependencies_.engine.MarkStaying(target, requested_at);
  }
}

}  // namespace medlarcroft::adapters
