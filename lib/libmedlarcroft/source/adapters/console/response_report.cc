#include "adapters/console/response_report.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "adapters/console/json_tree.h"
#include "adapters/console/text_table.h"

namespace medlarcroft::adapters {

namespace {

struct StatusMeaning {
  int status;
  ExitCode code;
};

constexpr StatusMeaning kMeanings[] = {
    {400, ExitCode::kInvalid},       {401, ExitCode::kNotAllowed},
    {403, ExitCode::kNotAllowed},    {404, ExitCode::kNotFound},
    {409, ExitCode::kConflict},      {412, ExitCode::kConflict},
    {413, ExitCode::kInvalid},       {422, ExitCode::kInvalid},
    {428, ExitCode::kConflict},      {503, ExitCode::kUnavailable},
    {504, ExitCode::kOutcomeUnknown}};

Result<JsonReply, ExitCode> GetJson(const CommandContext& context,
                                    const std::string& path) {
  const auto reply = context.client.Send("GET", path);
  if (!IsOk(reply)) {
    return ReportNoAnswer(context, ErrorOf(reply), {});
  }
  const ClientResponse& answer = ValueOf(reply).answer;
  if (ExitCodeOf(answer) != ExitCode::kDone) {
    return ReportRefusal(context, answer);
  }
  JsonReply json{
      .body = nlohmann::ordered_json::parse(answer.body, nullptr, false),
      .headers = answer.headers};
  if (!json.body.is_object()) {
    context.errors << "the answer can't be understood\n";
    return ExitCode::kFailed;
  }
  return json;
}

}  // namespace

ExitCode ExitCodeOf(const ClientResponse& answer) {
  if (answer.headers.Find("Medlar-Outcome") == "unknown") {
    return ExitCode::kOutcomeUnknown;
  }
  if (answer.status >= 200 && answer.status < 300) {
    return ExitCode::kDone;
  }
  for (const StatusMeaning& meaning : kMeanings) {
    if (meaning.status == answer.status) {
      return meaning.code;
    }
  }
  return ExitCode::kFailed;
}

ExitCode ReportNoAnswer(const CommandContext& context,
                        const NoSteerdAnswered& failure,
                        std::string_view change_id) {
  if (failure.is_proved_unsent || change_id.empty()) {
    context.errors << "no steerd answered\n";
    return ExitCode::kUnreachable;
  }
  context.errors << "no steerd answered, but the change may have been made: "
                    "repeat it with --change-id "
                 << change_id << '\n';
  return ExitCode::kOutcomeUnknown;
}

ExitCode GetAndPrint(const CommandContext& context,
                     const std::string& path,
                     const std::function<void(const JsonReply& reply)>& print) {
  const auto reply = GetJson(context, path);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  if (context.is_json) {
    context.out << ValueOf(reply).body.dump(2) << '\n';
  } else {
    print(ValueOf(reply));
  }
  return ExitCode::kDone;
}

ExitCode ReportRefusal(const CommandContext& context,
                       const ClientResponse& answer) {
  auto body = nlohmann::ordered_json::parse(answer.body, nullptr, false);
  if (!body.is_object()) {
    context.errors << "answer " << answer.status << '\n';
  } else if (context.is_json) {
    context.errors << body.dump(2) << '\n';
  } else {
    body.erase("current");  // Long; `catalogue get` shows it.
    PrintTree(body, context.errors);
  }
  return ExitCodeOf(answer);
}

ExitCode ExitCodeOfChange(const SteerdReply& reply) {
  const ExitCode code = ExitCodeOf(reply.answer);
  const bool is_proof = code == ExitCode::kDone || code == ExitCode::kConflict;
  return reply.had_lost_answer && !is_proof ? ExitCode::kOutcomeUnknown : code;
}

void PrintFieldFaults(const catalogue::FieldFaults& faults, std::ostream& out) {
  TextTable table({"FIELD", "FAULT", "ALLOWED"});
  for (const catalogue::FieldFault& fault : faults) {
    table.Add({fault.path.empty() ? "(all)" : fault.path,
               std::string(catalogue::NameOf(fault.code)), fault.allowed});
  }
  table.Print(out);
}

}  // namespace medlarcroft::adapters
