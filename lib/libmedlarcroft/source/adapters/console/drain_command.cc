#include "adapters/console/drain_command.h"

#include <algorithm>
#include <array>
#include <ostream>

#include "adapters/console/command_line.h"
#include "adapters/console/in_force_wait.h"
#include "adapters/console/response_report.h"
#include "medlarcroft/catalogue/entry_codec.h"

namespace medlarcroft::adapters {

namespace {

namespace options = boost::program_options;
using catalogue::DrainEntry;
using catalogue::DrainSubject;

constexpr Duration kPollPeriod = std::chrono::milliseconds(500);
constexpr int kDefaultTimeoutSeconds = 300;

constexpr std::array<DrainSubject, 3> kSubjects{
    DrainSubject::kHost, DrainSubject::kTarget, DrainSubject::kFailureDomain};

std::optional<DrainSubject> ParseSubject(std::string_view word) {
  for (const DrainSubject subject : kSubjects) {
    if (catalogue::NameOf(subject) == word) {
      return subject;
    }
  }
  return std::nullopt;
}

std::string EntryNameOf(const DrainEntry& drain) {
  return "drain." + std::string(catalogue::NameOf(drain.subject)) + "." +
         drain.name;
}

/// @return the version of an entry, 0 if it does not exist, or the exit code of
/// the failed request.
Result<std::uint64_t, ExitCode> FindVersion(const CommandContext& context,
                                            const std::string& entry) {
  const auto result = context.client.Send("GET", EntryPath(entry));
  if (!IsOk(result)) {
    return ReportNoResponse(context, ErrorOf(result), {});
  }
  const ClientResponse& response = ValueOf(result).response;
  const ExitCode code = ExitCodeOf(response);
  if (code == ExitCode::kNotFound) {
    return std::uint64_t{0};
  }
  if (code != ExitCode::kSuccess) {
    return ReportErrorResponse(context, response);
  }
  const auto parsed =
      catalogue::ParseEntry(response.body, catalogue::UnknownFields::kIgnore);
  if (!IsOk(parsed)) {
    context.errors << "cannot parse the response of steerd\n";
    return ExitCode::kFailed;
  }
  return ValueOf(parsed).version;
}

ExitCode SendDrain(const CommandContext& context,
                   const DrainEntry& drain,
                   bool is_undo,
                   std::optional<std::uint64_t>& revision) {
  const std::string entry = EntryNameOf(drain);
  const auto version = FindVersion(context, entry);
  if (!IsOk(version)) {
    return ErrorOf(version);
  }
  const bool is_drained = ValueOf(version) > 0;
  if (is_drained != is_undo) {
    context.out << drain.name
                << (is_drained ? " is drained already\n" : " is not drained\n");
    return ExitCode::kSuccess;
  }

  CatalogueChangeRequest change{.method = is_undo ? "DELETE" : "PUT",
                                .entry = entry,
                                .version = ValueOf(version),
                                .has_version = true,
                                .change_id = context.make_change_id()};
  if (!is_undo) {
    change.document =
        catalogue::FormatEntry({.name = EntryName(entry), .body = drain});
  }
  return SendChange(context, change, revision);
}

/// Hosts of the same failure domain report a stopped host as "dead". Hosts of
/// other domains cannot distinguish it from an unreachable one and report
/// "unknown". A host in either state receives no work.
bool IsUnreachableState(const std::string& state) {
  return state == "dead" || state == "unknown";
}

bool IsHostUnreachable(const std::vector<SteerdStatus>& statuses,
                       const std::string& host) {
  return std::all_of(
      statuses.begin(), statuses.end(), [&host](const SteerdStatus& status) {
        return status.host != host &&
               std::all_of(status.members.begin(), status.members.end(),
                           [&host](const MemberStatus& member) {
                             return member.host != host ||
                                    IsUnreachableState(member.state);
                           });
      });
}

/// @return whether the drain is complete, as far as the statuses show.
bool IsDrainComplete(const std::vector<SteerdStatus>& statuses,
                     const DrainEntry& drain) {
  const auto outstanding = OutstandingRequestsOf(
      statuses, catalogue::NameOf(drain.subject), drain.name);
  if (outstanding) {
    return *outstanding == 0;
  }
  return drain.subject != DrainSubject::kHost ||
         IsHostUnreachable(statuses, drain.name);
}

void PrintOutcome(const CommandContext& context,
                  const std::vector<SteerdStatus>& statuses,
                  const DrainEntry& drain) {
  const auto outstanding = OutstandingRequestsOf(
      statuses, catalogue::NameOf(drain.subject), drain.name);
  context.out << drain.name << ": receives no new requests";
  if (outstanding) {
    context.out << ", " << *outstanding << " request(s) in flight\n";
  } else if (drain.subject == DrainSubject::kHost &&
             IsDrainComplete(statuses, drain)) {
    context.out << "; stopped, or unreachable from the other hosts\n";
  } else if (IsDrainComplete(statuses, drain)) {
    context.out << "; requests in flight end by their deadlines\n";
  } else {
    context.out << "; the host is still running: stop its daemons\n";
  }
}

ExitCode WatchDrain(const CommandContext& context,
                    const DrainEntry& drain,
                    std::uint64_t revision,
                    Duration limit) {
  const MonotonicTime start = context.clock.Now();
  const ExitCode in_force = WaitUntilInForce(context, revision, limit);
  if (in_force != ExitCode::kSuccess) {
    return in_force;
  }

  std::vector<SteerdStatus> statuses = FetchStatuses(context);
  while (!IsDrainComplete(statuses, drain) &&
         context.clock.Now() - start < limit) {
    context.sleep(kPollPeriod);
    statuses = FetchStatuses(context);
  }
  PrintOutcome(context, statuses, drain);
  return IsDrainComplete(statuses, drain) ? ExitCode::kSuccess
                                          : ExitCode::kIncomplete;
}

}  // namespace

ExitCode RunDrain(const CommandContext& context, Arguments arguments) {
  options::options_description description;
  auto add = description.add_options();
  add("undo", options::bool_switch());
  add("watch", options::bool_switch());
  add("reason", options::value<std::string>()->default_value(""));
  add("timeout", options::value<int>()->default_value(kDefaultTimeoutSeconds));
  const auto parsed = ParseArguments(description, arguments, 2, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  const auto subject = ParseSubject(parsed->positional[0]);
  if (!subject) {
    context.errors << "expected host, target or failure-domain\n";
    return ExitCode::kBadUsage;
  }

  const DrainEntry drain{.subject = *subject,
                         .name = parsed->positional[1],
                         .reason = parsed->options["reason"].as<std::string>()};
  const bool is_undo = parsed->options["undo"].as<bool>();
  std::optional<std::uint64_t> revision;
  const ExitCode code = SendDrain(context, drain, is_undo, revision);
  if (code != ExitCode::kSuccess || !parsed->options["watch"].as<bool>()) {
    return code;
  }

  const Duration limit =
      std::chrono::seconds(parsed->options["timeout"].as<int>());
  // Without a revision the drain existed before: it is in force unless a host
  // has just started.
  return is_undo ? WaitUntilInForce(context, revision.value_or(0), limit)
                 : WatchDrain(context, drain, revision.value_or(0), limit);
}

}  // namespace medlarcroft::adapters
