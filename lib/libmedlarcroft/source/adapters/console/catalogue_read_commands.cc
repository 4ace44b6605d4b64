#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "adapters/console/catalogue_commands.h"
#include "adapters/console/command_line.h"
#include "adapters/console/in_force_wait.h"
#include "adapters/console/response_report.h"
#include "adapters/console/text_table.h"
#include "adapters/platform/platform_json.h"

namespace medlarcroft::adapters {

namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

std::string TextAt(const Json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string FormatTime(std::int64_t milliseconds) {
  const std::time_t seconds = milliseconds / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

void PrintHistory(const Json& body, std::ostream& out) {
  TextTable table(
      {"VERSION", "REVISION", "ACCEPTED", "OWNER", "CHANGE ID", "CHANGE"});
  for (const Json& change : body.value("changes", Json::array())) {
    table.Add({TextAt(change, "version"), TextAt(change, "revision"),
               FormatTime(change.value("accepted_at_ms", std::int64_t{0})),
               TextAt(change, "owner"), TextAt(change, "change_id"),
               change.value("is_deletion", false) ? "deleted" : "set"});
  }
  table.Print(out);
}

void PrintEntries(const Json& body, std::ostream& out) {
  TextTable table({"ENTRY", "KIND", "OWNER", "VERSION", "REVISION"});
  for (const Json& entry : body.value("entries", Json::array())) {
    table.Add({TextAt(entry, "entry"), TextAt(entry, "kind"),
               TextAt(entry, "owner"), TextAt(entry, "version"),
               TextAt(entry, "revision")});
  }
  table.Print(out);
  out << "revision " << TextAt(body, "revision") << '\n';
}

std::uint64_t HighestRevision(const std::vector<SteerdStatus>& statuses) {
  std::uint64_t highest = 0;
  for (const SteerdStatus& status : statuses) {
    highest = std::max({highest, status.revision, status.highest_seen});
  }
  return highest;
}

Json ToJson(const std::map<std::string, DomainProgress>& progress) {
  Json domains = Json::array();
  for (const auto& [name, domain] : progress) {
    domains.push_back({{"failure_domain", name},
                       {"hosts_in_force", domain.hosts_in_force},
                       {"behind", domain.behind},
                       {"out_of_reach", domain.out_of_reach}});
  }
  return domains;
}

void PrintProgress(const std::map<std::string, DomainProgress>& progress,
                   std::ostream& out) {
  TextTable table({"FAILURE DOMAIN", "IN FORCE", "BEHIND", "OUT OF REACH"});
  for (const auto& [name, domain] : progress) {
    table.Add({name, std::to_string(domain.hosts_in_force),
               JoinWithCommas(domain.behind),
               JoinWithCommas(domain.out_of_reach)});
  }
  table.Print(out);
}

}  // namespace

ExitCode RunCatalogueGet(const CommandContext& context, Arguments arguments) {
  const auto parsed = ParseArguments({}, arguments, 1, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  // Always printed as JSON, to be edited and passed to `catalogue put`.
  return GetAndPrint(
      context, EntryPath(parsed->positional[0]),
      [&context](const JsonResponse& response) {
        if (response.headers.Find("Medlar-Source") == "replica") {
          context.errors << "the platform is unavailable; showing the entry "
                            "in force on the queried host\n";
        }
        context.out << response.body.dump(2) << '\n';
      });
}

ExitCode RunCatalogueList(const CommandContext& context, Arguments arguments) {
  options::options_description description;
  description.add_options()("kind",
                            options::value<std::string>()->default_value(""));
  const auto parsed = ParseArguments(description, arguments, 0, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  const auto kind = parsed->options["kind"].as<std::string>();
  const std::string query = kind.empty() ? "" : "?kind=" + PercentEncode(kind);
  return GetAndPrint(context, "/v1/catalogue" + query,
                     [&context](const JsonResponse& response) {
                       PrintEntries(response.body, context.out);
                     });
}

ExitCode RunCatalogueHistory(const CommandContext& context,
                             Arguments arguments) {
  options::options_description description;
  description.add_options()("limit",
                            options::value<unsigned>()->default_value(20));
  const auto parsed = ParseArguments(description, arguments, 1, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  const std::string path =
      EntryPath(parsed->positional[0]) + "/history?limit=" +
      std::to_string(parsed->options["limit"].as<unsigned>());
  return GetAndPrint(context, path, [&context](const JsonResponse& response) {
    PrintHistory(response.body, context.out);
  });
}

ExitCode RunCatalogueStatus(const CommandContext& context,
                            Arguments arguments) {
  if (!ParseArguments({}, arguments, 0, context.errors)) {
    return ExitCode::kBadUsage;
  }
  const auto statuses = FetchStatuses(context);
  if (statuses.empty()) {
    context.errors << "no steerd answered\n";
    return ExitCode::kUnreachable;
  }

  const std::uint64_t highest = HighestRevision(statuses);
  const auto progress = MeasureProgress(statuses, highest);
  if (context.is_json) {
    const Json body = {{"highest_revision", highest},
                       {"is_in_force", IsInForce(progress)},
                       {"failure_domains", ToJson(progress)}};
    context.out << body.dump(2) << '\n';
  } else {
    context.out << "highest revision " << highest << '\n';
    PrintProgress(progress, context.out);
  }
  return IsInForce(progress) ? ExitCode::kSuccess : ExitCode::kIncomplete;
}

}  // namespace medlarcroft::adapters
