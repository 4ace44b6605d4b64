#include "adapters/console/command.h"

#include <algorithm>
#include <array>
#include <ostream>

#include "adapters/console/catalogue_commands.h"
#include "adapters/console/drain_command.h"
#include "adapters/console/outcome_command.h"
#include "adapters/console/request_command.h"
#include "adapters/console/status_commands.h"

namespace medlarcroft::adapters {

namespace {

constexpr std::array<Command, 13> kCommands{{
    {"catalogue get", "ENTRY", "prints an entry as JSON that can be edited",
     "medlarctl catalogue get service.lookup-desk > desk.json",
     &RunCatalogueGet},
    {"catalogue put",
     "ENTRY FILE [--create | --if-version N] [--change-id ID] [--wait] "
     "[--timeout S]",
     "creates or replaces an entry; FILE holds the version to replace",
     "medlarctl catalogue put service.lookup-desk desk.json --wait",
     &RunCataloguePut},
    {"catalogue delete",
     "ENTRY --if-version N [--change-id ID] [--wait] [--timeout S]",
     "deletes an entry", "medlarctl catalogue delete link.a.b --if-version 3",
     &RunCatalogueDelete},
    {"catalogue list", "[--kind KIND]", "lists the entries in force",
     "medlarctl catalogue list --kind drain", &RunCatalogueList},
    {"catalogue history", "ENTRY [--limit N]",
     "lists who changed an entry and when",
     "medlarctl catalogue history service.lookup-desk", &RunCatalogueHistory},
    {"catalogue status", "",
     "shows the rollout of the newest revision by domain",
     "medlarctl --steerd http://127.31.1.1:17001 catalogue status",
     &RunCatalogueStatus},
    {"catalogue check", "FILE…", "validates entry files offline",
     "medlarctl catalogue check dist/deployments/uwimana/catalogue/*.json",
     &RunCatalogueCheck},
    {"drain",
     "host|target|failure-domain NAME [--undo] [--watch] [--reason TEXT] "
     "[--timeout S]",
     "takes a host, target or domain out of service, or back in",
     "medlarctl drain target lookup-desk-1 --reason 'new disk' --watch",
     &RunDrain},
    {"explain", "--service S --brand B [--client IP]",
     "shows the inputs, rule and limit behind a look-up result",
     "medlarctl explain --service lookup-desk --brand uwimana", &RunExplain},
    {"status", "[--members]",
     "shows hosts, readiness, and which functions are available",
     "medlarctl status --members", &RunStatus},
    {"request", "ID FILE…",
     "prints the log lines of one request from several logs, by time",
     "medlarctl request 9c41d07be2a35f68 logs/*.log", &RunRequest},
    {"outcomes", "FILE…",
     "counts request outcomes in logs by second, domain and route",
     "medlarctl outcomes logs/*.log", &RunOutcomes},
    {"report", "",
     "prints status and catalogue of all steerds as one JSON document",
     "medlarctl report > report.json", &RunReport},
}};

std::size_t CountWords(std::string_view name) {
  return 1 +
         static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

bool IsCalledBy(const Command& command, std::span<const std::string> words) {
  const std::size_t count = CountWords(command.name);
  if (words.size() < count) {
    return false;
  }
  std::string given = words[0];
  for (std::size_t i = 1; i < count; ++i) {
    given += ' ' + words[i];
  }
  return given == command.name;
}

}  // namespace

std::span<const Command> AllCommands() {
  return kCommands;
}

ExitCode RunCommand(const CommandContext& context,
                    std::span<const std::string> words) {
  for (const Command& command : kCommands) {
    if (!IsCalledBy(command, words)) {
      continue;
    }
    const ExitCode code =
        command.run(context, words.subspan(CountWords(command.name)));
    if (code == ExitCode::kBadUsage) {
      context.errors << "usage: medlarctl " << command.name << ' '
                     << command.usage << '\n';
    }
    return code;
  }
  context.errors << "unknown command; see medlarctl --help\n";
  return ExitCode::kBadUsage;
}

void PrintCommands(std::ostream& out) {
  for (const Command& command : kCommands) {
    out << "  " << command.name << ' ' << command.usage << "\n      "
        << command.summary << "\n      example: " << command.example << '\n';
  }
}

}  // namespace medlarcroft::adapters
