#include "adapters/console/response_report.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "adapters/console/json_tree.h"
#include "adapters/console/text_table.h"

namespace medlarcroft::adapters {

namespace {

struct StatusExitCode {
  int status;
  ExitCode code;
};

constexpr StatusExitCode kStatusExitCodes[] = {
    {400, ExitCode::kInvalid},       {401, ExitCode::kNotAllowed},
    {403, ExitCode::kNotAllowed},    {404, ExitCode::kNotFound},
    {409, ExitCode::kConflict},      {412, ExitCode::kConflict},
    {413, ExitCode::kInvalid},       {422, ExitCode::kInvalid},
    {428, ExitCode::kConflict},      {503, ExitCode::kUnavailable},
    {504, ExitCode::kOutcomeUnknown}};

Result<JsonResponse, ExitCode> GetJson(const CommandContext& context,
                                       const std::string& path) {
  const auto result = context.client.Send("GET", path);
  if (!IsOk(result)) {
    return ReportNoResponse(context, ErrorOf(result), {});
  }
  const ClientResponse& response = ValueOf(result).response;
  if (ExitCodeOf(response) != ExitCode::kSuccess) {
    return ReportErrorResponse(context, response);
  }
  JsonResponse json{
      .body = nlohmann::ordered_json::parse(response.body, nullptr, false),
      .headers = response.headers};
  if (!json.body.is_object()) {
    context.errors << "cannot parse the response of steerd\n";
    return ExitCode::kFailed;
  }
  return json;
}

}  // namespace

ExitCode ExitCodeOf(const ClientResponse& response) {
  if (response.headers.Find("Medlar-Outcome") == "unknown") {
    return ExitCode::kOutcomeUnknown;
  }
  if (response.status >= 200 && response.status < 300) {
    return ExitCode::kSuccess;
  }
  for (const StatusExitCode& entry : kStatusExitCodes) {
    if (entry.status == response.status) {
      return entry.code;
    }
  }
  return ExitCode::kFailed;
}

ExitCode ReportNoResponse(const CommandContext& context,
                          const NoSteerdResponse& failure,
                          std::string_view change_id) {
  if (failure.is_proved_unsent || change_id.empty()) {
    context.errors << "no steerd answered\n";
    return ExitCode::kUnreachable;
  }
  context.errors
      << "no steerd answered, but the change may have been accepted: "
         "retry with --change-id "
      << change_id << '\n';
  return ExitCode::kOutcomeUnknown;
}

ExitCode GetAndPrint(
    const CommandContext& context,
    const std::string& path,
    const std::function<void(const JsonResponse& response)>& print) {
  const auto result = GetJson(context, path);
  if (!IsOk(result)) {
    return ErrorOf(result);
  }
  if (context.is_json) {
    context.out << ValueOf(result).body.dump(2) << '\n';
  } else {
    print(ValueOf(result));
  }
  return ExitCode::kSuccess;
}

ExitCode ReportErrorResponse(const CommandContext& context,
                             const ClientResponse& response) {
  auto body = nlohmann::ordered_json::parse(response.body, nullptr, false);
  if (!body.is_object()) {
    context.errors << "HTTP status " << response.status << '\n';
  } else if (context.is_json) {
    context.errors << body.dump(2) << '\n';
  } else {
    body.erase("current");  // Too long; `catalogue get` prints it.
    PrintJsonTree(body, context.errors);
  }
  return ExitCodeOf(response);
}

ExitCode ExitCodeOfChange(const SteerdResponse& response) {
  const ExitCode code = ExitCodeOf(response.response);
  const bool is_conclusive =
      code == ExitCode::kSuccess || code == ExitCode::kConflict;
  return response.has_unanswered_attempt && !is_conclusive
             ? ExitCode::kOutcomeUnknown
             : code;
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
