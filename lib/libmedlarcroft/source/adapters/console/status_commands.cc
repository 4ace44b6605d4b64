#include "adapters/console/status_commands.h"

#include <array>
#include <nlohmann/json.hpp>
#include <ostream>

#include "adapters/console/command_line.h"
#include "adapters/console/json_tree.h"
#include "adapters/console/response_report.h"
#include "adapters/console/steerd_status.h"
#include "adapters/console/text_table.h"
#include "adapters/platform/platform_json.h"

namespace medlarcroft::adapters {

namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

std::string FormatAge(std::int64_t milliseconds) {
  return FormatMilliseconds(static_cast<double>(milliseconds));
}

void PrintSteerds(const std::vector<SteerdStatus>& statuses,
                  std::ostream& out) {
  TextTable table({"HOST", "FAILURE DOMAIN", "READY", "REVISION", "IN FORCE",
                   "PLATFORM", "SERVES", "CANNOT"});
  for (const SteerdStatus& status : statuses) {
    const std::string ready =
        status.is_ready ? "yes"
                        : "no: " + JoinWithCommas(status.not_ready_because);
    const std::string platform =
        std::string(status.is_platform_reachable ? "up " : "down ") +
        FormatAge(status.platform_since_ms);
    table.Add({status.host, status.failure_domain, ready,
               std::to_string(status.revision),
               FormatAge(status.in_force_ms_ago), platform,
               JoinWithCommas(status.serves), JoinWithCommas(status.cannot)});
  }
  table.Print(out);
}

void PrintMembers(const SteerdStatus& status, std::ostream& out) {
  out << "\nmembers reported by " << status.host << "\n";
  TextTable table(
      {"HOST", "FAILURE DOMAIN", "STATE", "PHASE", "REVISION", "HEARD"});
  for (const MemberStatus& member : status.members) {
    table.Add({member.host, member.failure_domain, member.state, member.phase,
               std::to_string(member.revision), FormatAge(member.age_ms)});
  }
  table.Print(out);
}

Json BodyOf(const ClientResponse& response) {
  const Json body = Json::parse(response.body, nullptr, false);
  return body.is_discarded() ? Json(nullptr) : body;
}

/// @return the response body of each steerd by URL; null if it did not respond.
Json CollectAll(const CommandContext& context, const std::string& path) {
  Json bodies = Json::object();
  for (const SteerdResult& result :
       context.client.GetFromAll(path, context.client.ReadTimeout())) {
    bodies[result.url] = IsOk(result.response)
                             ? BodyOf(ValueOf(result.response))
                             : Json(nullptr);
  }
  return bodies;
}

bool HasResponse(const Json& bodies) {
  for (const Json& body : bodies) {
    if (body.is_object()) {
      return true;
    }
  }
  return false;
}

}  // namespace

ExitCode RunStatus(const CommandContext& context, Arguments arguments) {
  options::options_description description;
  description.add_options()("members", options::bool_switch());
  const auto parsed = ParseArguments(description, arguments, 0, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  const Json bodies = CollectAll(context, "/v1/status");
  if (!HasResponse(bodies)) {
    context.errors << "no steerd answered\n";
    return ExitCode::kUnreachable;
  }
  if (context.is_json) {
    context.out << bodies.dump(2) << '\n';
    return ExitCode::kSuccess;
  }

  std::vector<SteerdStatus> statuses;
  for (const auto& [url, body] : bodies.items()) {
    if (auto status = ParseSteerdStatus(body.dump())) {
      statuses.push_back(*std::move(status));
    } else {
      context.errors << url << ": no answer\n";
    }
  }
  PrintSteerds(statuses, context.out);
  if (parsed->options["members"].as<bool>()) {
    for (const SteerdStatus& status : statuses) {
      PrintMembers(status, context.out);
    }
  }
  return ExitCode::kSuccess;
}

ExitCode RunExplain(const CommandContext& context, Arguments arguments) {
  options::options_description description;
  auto add = description.add_options();
  add("service", options::value<std::string>()->required());
  add("brand", options::value<std::string>()->required());
  add("client", options::value<std::string>()->default_value(""));
  const auto parsed = ParseArguments(description, arguments, 0, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }

  std::string path = "/v1/explain?";
  for (const char* key : {"service", "brand", "client"}) {
    const auto& value = parsed->options[key].as<std::string>();
    if (!value.empty()) {
      path += (path.back() == '?' ? "" : "&") + std::string(key) + "=" +
              PercentEncode(value);
    }
  }
  return GetAndPrint(context, path, [&context](const JsonResponse& response) {
    PrintJsonTree(response.body, context.out);
  });
}

ExitCode RunReport(const CommandContext& context, Arguments arguments) {
  if (!ParseArguments({}, arguments, 0, context.errors)) {
    return ExitCode::kBadUsage;
  }
  constexpr std::array<const char*, 2> kPaths{"/v1/status", "/v1/catalogue"};
  Json report = {{"written_at_ms",
                  ToMilliseconds(context.clock.WallNow().time_since_epoch())}};
  bool has_response = false;
  for (const char* path : kPaths) {
    report[path] = CollectAll(context, path);
    has_response |= HasResponse(report[path]);
  }
  context.out << report.dump(2) << '\n';
  return has_response ? ExitCode::kSuccess : ExitCode::kUnreachable;
}

}  // namespace medlarcroft::adapters
