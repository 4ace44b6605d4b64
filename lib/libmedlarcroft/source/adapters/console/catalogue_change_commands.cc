#include <nlohmann/json.hpp>
#include <ostream>

#include "adapters/console/catalogue_commands.h"
#include "adapters/console/command_line.h"
#include "adapters/console/in_force_wait.h"
#include "adapters/console/response_report.h"
#include "adapters/platform/platform_json.h"
#include "adapters/process/program_options.h"

namespace medlarcroft::adapters {

namespace {

namespace options = boost::program_options;
using Json = nlohmann::ordered_json;

/// A change must be in force on all hosts within 18 s.
constexpr int kDefaultWaitSeconds = 30;

options::options_description ChangeOptions() {
  options::options_description description;
  auto add = description.add_options();
  add("if-version", options::value<std::uint64_t>());
  add("change-id", options::value<std::string>()->default_value(""));
  add("wait", options::bool_switch());
  add("timeout", options::value<int>()->default_value(kDefaultWaitSeconds));
  return description;
}

/// @return the "version" field of a document, as printed by `catalogue get`.
std::optional<std::uint64_t> VersionIn(const std::string& document) {
  const Json json = Json::parse(document, nullptr, false);
  if (!json.is_object() || !json.contains("version") ||
      !json["version"].is_number_unsigned()) {
    return std::nullopt;
  }
  return json["version"].get<std::uint64_t>();
}

void SetVersion(const options::variables_map& given,
                CatalogueChangeRequest& change) {
  if (given.contains("if-version")) {
    change.version = given["if-version"].as<std::uint64_t>();
    change.has_version = true;
    return;
  }
  if (const auto version = VersionIn(change.document)) {
    change.version = *version;
    change.has_version = true;
  }
}

ExitCode SendAndWait(const CommandContext& context,
                     const options::variables_map& given,
                     CatalogueChangeRequest& change) {
  change.change_id = given["change-id"].as<std::string>();
  if (change.change_id.empty()) {
    change.change_id = context.make_change_id();
  }
  std::optional<std::uint64_t> revision;
  const ExitCode code = SendChange(context, change, revision);
  if (!revision || !given["wait"].as<bool>()) {
    return code;
  }
  return WaitUntilInForce(context, *revision,
                          std::chrono::seconds(given["timeout"].as<int>()));
}

HttpHeaders HeadersOf(const CatalogueChangeRequest& change) {
  HttpHeaders headers;
  headers.Add("Medlar-Change-Id", change.change_id);
  if (change.has_version && change.version == 0) {
    headers.Add("If-None-Match", "*");
  } else if (change.has_version) {
    headers.Add("If-Match", '"' + std::to_string(change.version) + '"');
  }
  return headers;
}

}  // namespace

std::string EntryPath(const std::string& entry) {
  return "/v1/catalogue/" + PercentEncode(entry);
}

ExitCode SendChange(const CommandContext& context,
                    const CatalogueChangeRequest& change,
                    std::optional<std::uint64_t>& revision) {
  const auto result =
      context.client.Send(change.method, EntryPath(change.entry),
                          HeadersOf(change), change.document);
  if (!IsOk(result)) {
    return ReportNoResponse(context, ErrorOf(result), change.change_id);
  }

  const ClientResponse& response = ValueOf(result).response;
  const ExitCode code = ExitCodeOfChange(ValueOf(result));
  if (code != ExitCode::kSuccess) {
    (void)ReportErrorResponse(context, response);
    if (code == ExitCode::kOutcomeUnknown) {
      context.errors << "the change may have been accepted: retry with "
                        "--change-id "
                     << change.change_id << '\n';
    }
    return code;
  }

  const Json body = Json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("revision")) {
    context.errors << "cannot parse the response of steerd\n";
    return ExitCode::kFailed;
  }
  revision = body.value("revision", std::uint64_t{0});
  if (context.is_json) {
    context.out << body.dump(2) << '\n';
  } else {
    context.out << change.entry << ": accepted as revision " << *revision
                << ", version " << body.value("version", std::uint64_t{0})
                << '\n';
  }
  return code;
}

ExitCode RunCataloguePut(const CommandContext& context, Arguments arguments) {
  auto description = ChangeOptions();
  description.add_options()("create", options::bool_switch());
  const auto parsed = ParseArguments(description, arguments, 2, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  const auto document = ReadSettingsFile(parsed->positional[1]);
  if (!IsOk(document)) {
    PrintSettingsErrors(ErrorOf(document), context.errors);
    return ExitCode::kBadUsage;
  }

  CatalogueChangeRequest change{.entry = parsed->positional[0],
                                .document = ValueOf(document)};
  SetVersion(parsed->options, change);
  if (parsed->options["create"].as<bool>()) {
    change.version = 0;
    change.has_version = true;
  }
  return SendAndWait(context, parsed->options, change);
}

ExitCode RunCatalogueDelete(const CommandContext& context,
                            Arguments arguments) {
  const auto parsed =
      ParseArguments(ChangeOptions(), arguments, 1, context.errors);
  if (!parsed) {
    return ExitCode::kBadUsage;
  }
  CatalogueChangeRequest change{.method = "DELETE",
                                .entry = parsed->positional[0]};
  SetVersion(parsed->options, change);
  if (!change.has_version) {
    context.errors << "--if-version is required to delete an entry\n";
    return ExitCode::kBadUsage;
  }
  return SendAndWait(context, parsed->options, change);
}

}  // namespace medlarcroft::adapters
