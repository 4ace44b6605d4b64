#include "adapters/console/steerd_status.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace medlarcroft::adapters {

namespace {

using nlohmann::json;

constexpr std::string_view kAlive = "alive";
constexpr std::string_view kLeaving = "leaving";
constexpr std::string_view kDead = "dead";

std::string TextAt(const json& object, const char* key) {
  return object.value(key, std::string());
}

template <typename Number>
Number NumberAt(const json& object, const char* key) {
  return object.value(key, Number{0});
}

std::vector<std::string> ListAt(const json& object, const char* key) {
  std::vector<std::string> list;
  for (const json& item : object.value(key, json::array())) {
    list.push_back(item.is_string() ? item.get<std::string>() : item.dump());
  }
  return list;
}

MemberStatus ToMember(const json& value) {
  return {.host = TextAt(value, "host"),
          .failure_domain = TextAt(value, "failure_domain"),
          .state = TextAt(value, "state"),
          .phase = TextAt(value, "phase"),
          .revision = NumberAt<std::uint64_t>(value, "revision"),
          .age_ms = NumberAt<std::int64_t>(value, "age_ms")};
}

DrainStatus ToDrain(const json& value) {
  return {.subject = TextAt(value, "subject"),
          .name = TextAt(value, "name"),
          .outstanding = NumberAt<std::uint64_t>(value, "outstanding")};
}

SteerdStatus ToStatus(const json& value) {
  const json catalogue = value.value("catalogue", json::object());
  const json platform = value.value("platform", json::object());
  SteerdStatus status{
      .host = value.at("host").get<std::string>(),
      .failure_domain = TextAt(value, "failure_domain"),
      .phase = TextAt(value, "phase"),
      .is_ready = value.value("ready", false),
      .not_ready_because = ListAt(value, "not_ready_because"),
      .revision = NumberAt<std::uint64_t>(catalogue, "revision"),
      .highest_seen = NumberAt<std::uint64_t>(catalogue, "highest_seen"),
      .in_force_ms_ago = NumberAt<std::int64_t>(catalogue, "in_force_ms_ago"),
      .is_platform_reachable = platform.value("reachable", false),
      .platform_since_ms = NumberAt<std::int64_t>(platform, "since_ms"),
      .serves = ListAt(value, "serves"),
      .cannot = ListAt(value, "cannot")};
  for (const json& member : value.value("members", json::array())) {
    status.members.push_back(ToMember(member));
  }
  for (const json& drain : value.value("drains", json::array())) {
    status.drains.push_back(ToDrain(drain));
  }
  return status;
}

/// The newest known state of each host. A host's own status has age -1 and so
/// wins over reports of other hosts.
std::map<std::string, MemberStatus> NewestStates(
    const std::vector<SteerdStatus>& statuses) {
  std::map<std::string, MemberStatus> newest;
  const auto add = [&newest](const MemberStatus& member) {
    const auto [known, is_new] = newest.emplace(member.host, member);
    if (!is_new && member.age_ms < known->second.age_ms) {
      known->second = member;
    }
  };

  for (const SteerdStatus& status : statuses) {
    add({.host = status.host,
         .failure_domain = status.failure_domain,
         .state = std::string(kAlive),
         .phase = status.phase,
         .revision = status.revision,
         .age_ms = -1});
    std::for_each(status.members.begin(), status.members.end(), add);
  }
  return newest;
}

}  // namespace

std::optional<SteerdStatus> ParseSteerdStatus(std::string_view body) {
  try {
    return ToStatus(json::parse(body));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::map<std::string, DomainProgress> MeasureProgress(
    const std::vector<SteerdStatus>& statuses,
    std::uint64_t revision) {
  std::map<std::string, DomainProgress> progress;
  for (const auto& [host, member] : NewestStates(statuses)) {
    if (member.state == kDead) {
      continue;  // Stopped; its successor starts with the newest revision.
    }
    DomainProgress& domain = progress[member.failure_domain];
    const bool is_alive = member.state == kAlive || member.state == kLeaving;
    if (member.revision >= revision) {
      ++domain.hosts_in_force;
    } else if (is_alive) {
      domain.behind.push_back(host);
    } else {
      domain.out_of_reach.push_back(host);
    }
  }
  return progress;
}

bool IsInForce(const std::map<std::string, DomainProgress>& progress) {
  return !progress.empty() &&
         std::all_of(progress.begin(), progress.end(), [](const auto& domain) {
           return domain.second.behind.empty();
         });
}

std::optional<std::uint64_t> OutstandingRequestsOf(
    const std::vector<SteerdStatus>& statuses,
    std::string_view subject,
    std::string_view name) {
  std::optional<std::uint64_t> sum;
  for (const SteerdStatus& status : statuses) {
    for (const DrainStatus& drain : status.drains) {
      if (drain.subject == subject && drain.name == name) {
        sum = sum.value_or(0) + drain.outstanding;
      }
    }
  }
  return sum;
}

}  // namespace medlarcroft::adapters
