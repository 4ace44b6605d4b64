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

/// @return the version of an entry, 0 when there is none, or the exit code.
Result<std::uint64_t, ExitCode> FindVersion(const CommandContext& context,
                                            const std::string& entry) {
  const auto reply = context.client.Send("GET", EntryPath(entry));
  if (!IsOk(reply)) {
    return ReportNoAnswer(context, ErrorOf(reply), {});
  }
  const ClientResponse& answer = ValueOf(reply).answer;
  const ExitCode code = ExitCodeOf(answer);
  if (code == ExitCode::kNotFound) {
    return std::uint64_t{0};
  }
  if (code != ExitCode::kDone) {
    return ReportRefusal(context, answer);
  }
  const auto parsed =
      catalogue::ParseEntry(answer.body, catalogue::UnknownFields::kIgnore);
  if (!IsOk(parsed)) {
    context.errors << "the answer can't be understood\n";
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
    return ExitCode::kDone;
  }

  ConsoleChange change{.method = is_undo ? "DELETE" : "PUT",
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

/// In its own domain a stopped host counts as dead; other domains can't tell it
/// from one that is cut off and say "unknown". Neither gets work from them.
bool IsGoneState(const std::string& state) {
  return state == "dead" || state == "unknown";
}

bool IsHostGone(const std::vector<SteerdStatus>& statuses,
                const std::string& host) {
  return std::all_of(
      statuses.begin(), statuses.end(), [&host](const SteerdStatus& status) {
        return status.host != host &&
               std::all_of(status.members.begin(), status.members.end(),
                           [&host](const MemberStatus& member) {
                             return member.host != host ||
                                    IsGoneState(member.state);
                           });
      });
}

/// @return whether nothing is left to wait for, as far as it can be seen.
bool IsDrainDone(const std::vector<SteerdStatus>& statuses,
                 const DrainEntry& drain) {
  const auto outstanding =
      OutstandingOf(statuses, catalogue::NameOf(drain.subject), drain.name);
  if (outstanding) {
    return *outstanding == 0;
  }
  return drain.subject != DrainSubject::kHost ||
         IsHostGone(statuses, drain.name);
}

void PrintOutcome(const CommandContext& context,
                  const std::vector<SteerdStatus>& statuses,
                  const DrainEntry& drain) {
  const auto outstanding =
      OutstandingOf(statuses, catalogue::NameOf(drain.subject), drain.name);
  context.out << drain.name << ": gets no new work";
  if (outstanding) {
    context.out << ", " << *outstanding << " request(s) in flight\n";
  } else if (drain.subject == DrainSubject::kHost &&
             IsDrainDone(statuses, drain)) {
    context.out << "; stopped, or out of reach of the others\n";
  } else if (IsDrainDone(statuses, drain)) {
    context.out << "; what is in flight ends within its deadline\n";
  } else {
    context.out << "; the host still runs: stop its daemons\n";
  }
}

ExitCode WatchDrain(const CommandContext& context,
                    const DrainEntry& drain,
                    std::uint64_t revision,
                    Duration limit) {
  const MonotonicTime start = context.clock.Now();
  const ExitCode in_force = WaitUntilInForce(context, revision, limit);
  if (in_force != ExitCode::kDone) {
    return in_force;
  }

  std::vector<SteerdStatus> statuses = AskStatuses(context);
  while (!IsDrainDone(statuses, drain) && context.clock.Now() - start < limit) {
    context.sleep(kPollPeriod);
    statuses = AskStatuses(context);
  }
  PrintOutcome(context, statuses, drain);
  return IsDrainDone(statuses, drain) ? ExitCode::kDone : ExitCode::kNotYet;
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
  const auto subject = ParseSubject(parsed->words[0]);
  if (!subject) {
    context.errors << "drains a host, target or failure-domain\n";
    return ExitCode::kBadUsage;
  }

  const DrainEntry drain{.subject = *subject,
                         .name = parsed->words[1],
                         .reason = parsed->options["reason"].as<std::string>()};
  const bool is_undo = parsed->options["undo"].as<bool>();
  std::optional<std::uint64_t> revision;
  const ExitCode code = SendDrain(context, drain, is_undo, revision);
  if (code != ExitCode::kDone || !parsed->options["watch"].as<bool>()) {
    return code;
  }

  const Duration limit =
      std::chrono::seconds(parsed->options["timeout"].as<int>());
  // A drain that stood already is in force unless a host has just started.
  return is_undo ? WaitUntilInForce(context, revision.value_or(0), limit)
                 : WatchDrain(context, drain, revision.value_or(0), limit);
}

}  // namespace medlarcroft::adapters
