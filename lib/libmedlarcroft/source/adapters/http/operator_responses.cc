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

/// @brief How a failure looks over HTTP.
struct FailureForm {
  OperatorFailureCode code;
  int status;
  std::string_view name;
  std::string_view outcome;
  bool may_retry;
};

constexpr std::array<FailureForm, 12> kFailureForms{{
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

const FailureForm& FormOf(OperatorFailureCode code) {
  for (const FailureForm& form : kFailureForms) {
    if (form.code == code) {
      return form;
    }
  }
  return kFailureForms.back();  // The one that promises nothing.
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

HttpResponse MakeRefusal(int status, std::string_view code) {
  HttpResponse response = MakeJson(status, {{"code", code}});
  response.headers.Add(kOutcomeHeader, "not-run");
  return response;
}

HttpResponse MakeAnswer(const OperatorFailure& failure) {
  const FailureForm& form = FormOf(failure.code);
  Json body = {{"code", form.name}};
  if (!failure.faults.empty()) {
    body["faults"] = ToJsonList(failure.faults);
  }
  if (form.status == 412 || form.status == 428) {
    body["current_version"] = failure.current_version;
  }
  if (!failure.current_document.empty()) {
    body["current"] = Json::parse(failure.current_document, nullptr, false);
  }
  if (!failure.change_id.empty()) {
    body["change_id"] = failure.change_id;
  }

  HttpResponse response = MakeJson(form.status, body);
  response.headers.Add(kOutcomeHeader, form.outcome);
  if (!failure.change_id.empty()) {
    response.headers.Add(kChangeIdHeader, failure.change_id);
  }
  if (failure.current_version > 0) {
    response.headers.Add("ETag", MakeETag(failure.current_version));
  }
  if (form.may_retry) {
    response.headers.Add("Retry-After", "2");
  }
  return response;
}

HttpResponse MakeAnswer(const catalogue::EntryAnswer& answer) {
  HttpResponse response{.status = 200, .body = answer.document};
  response.headers.Add("Content-Type", "application/json");
  response.headers.Add("ETag", MakeETag(answer.version));
  response.headers.Add("Medlar-Source",
                       answer.is_from_replica ? "replica" : "platform");
  return response;
}

HttpResponse MakeAnswer(const catalogue::ChangeAnswer& answer) {
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

HttpResponse MakeAnswer(const catalogue::ListAnswer& answer) {
  return MakeJson(200, {{"revision", answer.revision},
                        {"entries", ToJsonList(answer.entries)}});
}

HttpResponse MakeAnswer(const std::vector<catalogue::HistoryItem>& history) {
  return MakeJson(200, {{"changes", ToJsonList(history)}});
}

}  // namespace medlarcroft::adapters
