#include "adapters/entry/target_poller.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarcroft::adapters {

namespace {

/// Targets are 0.5 ms away; a report later than this is of no use to placing.
constexpr Duration kPollTimeout = std::chrono::milliseconds(300);

constexpr std::size_t kMaxReportBytes = 4096;

/// One poll a second for each target, from all hosts of its domain together:
/// with 3 to 8 slots a target's work is to answer requests, not 52 hosts.
constexpr Duration kPeriodPerHost = std::chrono::seconds(1);

/// Above it, one host alone would not know its targets' load any more.
constexpr std::size_t kMostHostsCounted = 20;

/// New routes are looked for at least so often.
constexpr Duration kLongestPause = std::chrono::milliseconds(500);
constexpr Duration kShortestPause = std::chrono::milliseconds(20);

constexpr int kDrainingStatus = 503;

std::optional<std::uint32_t> ReadCount(const nlohmann::json& value) {
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
  const auto outstanding = ReadCount(document["outstanding"]);
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
    const auto milliseconds = ReadCount(*age);
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
  return kPeriodPerHost * std::clamp<std::size_t>(hosts, 1, kMostHostsCounted);
}

Duration TargetPoller::Round() {
  const SharedRoutingTable routes = parts_.engine.Routes();
  if (!routes) {
    return kLongestPause;
  }
  const auto periods = PeriodsOf(*routes);
  const MonotonicTime now = parts_.clock.Now();
  MonotonicTime next = now + kLongestPause;
  std::map<TargetName, MonotonicTime> due;
  for (const capacity::SlotLimit& limit : routes->capacity.limits) {
    const auto period = periods.find(limit.failure_domain);
    const std::string* address = AddressOf(*routes, limit.target);
    if (period == periods.end() || address == nullptr ||
        due.contains(limit.target)) {
      continue;
    }

    // Jitter keeps the domain's hosts from asking all at the same moment; the
    // first poll may come at any time of a period, as after a restart of many.
    const double unit = parts_.random.NextUnit();
    const auto known = due_.find(limit.target);
    MonotonicTime at = known == due_.end()
                           ? now + FromSeconds(ToSeconds(period->second) * unit)
                           : known->second;
    if (at <= now) {
      AskLoad(limit.target, *address);
      at = now + FromSeconds(ToSeconds(period->second) * (0.75 + 0.5 * unit));
    }
    at = std::min(at, now + period->second * 5 / 4);
    due[limit.target] = at;
    next = std::min(next, at);
  }
  due_ = std::move(due);
  return std::max<Duration>(next - now, kShortestPause);
}

std::map<FailureDomainName, Duration> TargetPoller::PeriodsOf(
    const RoutingTable& routes) const {
  std::map<FailureDomainName, std::set<HostName>> holders;
  for (const auto& [domain, seat] : parts_.capacity.Seats()) {
    holders[domain].insert(parts_.host);
  }
  holders[parts_.failure_domain].insert(parts_.host);
  for (const capacity::Lender& lender : routes.capacity.lenders) {
    for (const auto& [domain, seat] : lender.seats) {
      const auto served = holders.find(domain);
      if (served != holders.end()) {
        served->second.insert(lender.host);
      }
    }
  }

  std::map<FailureDomainName, Duration> periods;
  for (const auto& [domain, hosts] : holders) {
    periods[domain] = PollPeriodFor(hosts.size());
  }
  return periods;
}

void TargetPoller::AskLoad(const TargetName& target,
                           const std::string& address) {
  const MonotonicTime asked_at = parts_.clock.Now();
  parts_.client.Send(
      {.url = "http://" + address + "/load",
       .timeout = kPollTimeout,
       .max_answer_bytes = kMaxReportBytes},
      [this, target, address, asked_at](const ClientResult& result) {
        OnLoad(target, address, asked_at, result);
      });
}

void TargetPoller::AskHealth(const TargetName& target,
                             const std::string& address) {
  parts_.client.Send(
      {.url = "http://" + address + "/health",
       .timeout = kPollTimeout,
       .max_answer_bytes = kMaxReportBytes},
      [this, target](const ClientResult& result) {
        if (IsOk(result) && IsDrainingResponse(ValueOf(result))) {
          parts_.engine.MarkLeaving(target);
        }
      });
}

void TargetPoller::OnLoad(const TargetName& target,
                          const std::string& address,
                          MonotonicTime asked_at,
                          const ClientResult& result) {
  if (!IsOk(result)) {
    return;
  }
  const ClientResponse& answer = ValueOf(result);
  const auto report = answer.status == 200 ? ParseTargetReport(answer.body)
                                           : std::optional<TargetReport>();
  if (report) {
    // The count was taken somewhere on the way there and back.
    const Duration round_trip = parts_.clock.Now() - asked_at;
    parts_.engine.OnTargetReport(target, report->outstanding,
                                 report->age.value_or(round_trip / 2));
  }
  if (!report || !report->is_draining) {
    AskHealth(target, address);
  } else if (*report->is_draining) {
    parts_.engine.MarkLeaving(target);
  } else {
    parts_.engine.MarkStaying(target, asked_at);
  }
}

}  // namespace medlarcroft::adapters
