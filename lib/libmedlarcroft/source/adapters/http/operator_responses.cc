#include "adapters/http/operator_responses.h"

#include <array>
#include <nlohmann/json.hpp>

namespace medlarcroft::adapters {

namespace {

using catalogue::OperatorFailure;
using catalogue::OperatorFailureCode;
using Json = nlohmann::ordered_json;

constexpr std::string_view kChangeIdHeader = "Medlar-Change-Id";
constexpr std::string_view kOutcomeHeader = "Medlar-Outcome";

/// @brief HTTP representation of a failure.
struct FailureMapping {
  OperatorFailureCode code;
  int status;
  std::string_view name;
  std::string_view outcome;
  bool is_retryable;
};

constexpr std::array<FailureMapping, 12> kFailureMappings{{
    {OperatorFailureCode::kBadEntryName, 400, "bad-entry-name", "not-run",
     false},
    {OperatorFailureCode::kBadChangeId, 400, "bad-change-id", "not-run", false},
    {OperatorFailureCode::kInvalidEntry, 422, "invalid-entry", "not-run",
     false},
    {OperatorFailureCode::kNotOwner, 403, "not-owner", "not-run", false},
    {OperatorFailureCode::kNotFound, 404, "no-such-entry", "not-run", false},
    {OperatorFailureCode::kVersionConflict, 412, "version-conflict", "not-run",
     false},
    {OperatorFailureCode::kPreconditionRequired, 428, "precondition-required",
     "not-run", false},
    {OperatorFailureCode::kChangeIdReused, 409, "change-id-reused", "not-run",
     false},
    {OperatorFailureCode::kPlatformUnavailable, 503, "platform-unavailable",
     "not-run", true},
    {OperatorFailureCode::kPlatformBehind, 503, "platform-behind", "not-run",
     false},
    {OperatorFailureCode::kContended, 503, "too-contended", "not-run", true},
    {OperatorFailureCode::kOutcomeUnknown, 504, "outcome-unknown", "unknown",
     true},
}};

const FailureMapping& MappingOf(OperatorFailureCode code) {
  for (const FailureMapping& mapping : kFailureMappings) {
    if (mapping.code == code) {
      return mapping;
    }
  }
  // kOutcomeUnknown, which claims neither outcome.
  return kFailureMappings.back();
}

HttpResponse MakeJson(int status, const Json& body) {
  HttpResponse response{.status = status, .body = body.dump()};
  response.headers.Add("Content-Type", status < 400
                                           ? "application/json"
                                           : "application/problem+json");
  return response;
}

std::string MakeETag(std::uint64_t version) {
  return '"' + std::to_string(version) + '"';
}

Json ToJson(const catalogue::FieldFault& fault) {
  return {{"path", fault.path},
          {"code", catalogue::NameOf(fault.code)},
          {"allowed", fault.allowed}};
}

Json ToJson(const catalogue::HistoryItem& item) {
  return {{"revision", item.revision},
          {"version", item.version},
          {"owner", item.owner.Value()},
          {"change_id", item.change_id},
          {"accepted_at_ms", item.accepted_at_ms},
          {"is_deletion", item.is_deletion}};
}

Json ToJson(const catalogue::ListedEntry& entry) {
  return {{"entry", entry.name.Value()},
          {"kind", entry.kind},
          {"owner", entry.owner.Value()},
          {"version", entry.version},
          {"revision", entry.revision}};
}

template <typename Item>
Json ToJsonList(const std::vector<Item>& items) {
  Json list = Json::array();
  for (const Item& item : items) {
    list.push_back(ToJson(item));
  }
  return list;
}

}  // namespace

HttpResponse MakeErrorResponse(int status, std::string_view code) {
  HttpResponse response = MakeJson(status, {{"code", code}});
  response.headers.Add(kOutcomeHeader, "not-run");
  return response;
}

HttpResponse MakeResponse(const OperatorFailure& failure) {
  const FailureMapping& mapping = MappingOf(failure.code);
  Json body = {{"code", mapping.name}};
  if (!failure.faults.empty()) {
    body["faults"] = ToJsonList(failure.faults);
  }
  if (mapping.status == 412 || mapping.status == 428) {
    body["current_version"] = failure.current_version;
  }
  if (!failure.current_document.empty()) {
    body["current"] = Json::parse(failure.current_document, nullptr, false);
  }
  if (!failure.change_id.empty()) {
    body["change_id"] = failure.change_id;
  }

  HttpResponse response = MakeJson(mapping.status, body);
  response.headers.Add(kOutcomeHeader, mapping.outcome);
  if (!failure.change_id.empty()) {
    response.headers.Add(kChangeIdHeader, failure.change_id);
  }
  if (failure.current_version > 0) {
    response.headers.Add("ETag", MakeETag(failure.current_version));
  }
  if (mapping.is_retryable) {
    response.headers.Add("Retry-After", "2");
  }
  return response;
}

HttpResponse MakeResponse(const catalogue::EntryAnswer& answer) {
  HttpResponse response{.status = 200, .body = answer.document};
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add("ETag", MakeETag(answer.version));
  response.headers.Add("Medlar-Source",
                       answer.is_from_replica ? "replica" : "platform");
  return response;
}

HttpResponse MakeResponse(const catalogue::ChangeAnswer& answer) {
  HttpResponse response =
      MakeJson(answer.is_created ? 201 : 200,
               {{"change_id", answer.change_id},
                {"revision", answer.revision},
                {"version", answer.version},
                {"was_settled", answer.was_already_accepted}});
  response.headers.Add(kOutcomeHeader, "ran");
  response.headers.Add(kChangeIdHeader, answer.change_id);
  response.headers.Add("ETag", MakeETag(answer.version));
  return response;
}

HttpResponse MakeResponse(const catalogue::ListAnswer& answer) {
  return MakeJson(200, {{"revision", answer.revision},
                        {"entries", ToJsonList(answer.entries)}});
}

HttpResponse MakeResponse(const std::vector<catalogue::HistoryItem>& history) {
  return MakeJson(200, {{"changes", ToJsonList(history)}});
}

}  // namespace medlarcroft::adapters
