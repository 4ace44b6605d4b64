#include "medlarcroft/catalogue/operator_api.h"

#include <algorithm>
#include <utility>

#include "medlarcroft/catalogue/entry_codec.h"

namespace medlarcroft::catalogue {

namespace {

using Code = OperatorFailureCode;

std::uint64_t ExpectedVersion(const Precondition& precondition) {
  return precondition.kind == Precondition::Kind::kVersion
             ? precondition.version
             : 0;
}

bool IsOwnerFault(const FieldFault& fault) {
  return fault.code == FaultCode::kOwnerChange;
}

OperatorFailure MakeInvalid(FieldFaults faults) {
  const bool is_owner =
      std::any_of(faults.begin(), faults.end(), &IsOwnerFault);
  return {.code = is_owner ? Code::kNotOwner : Code::kInvalidEntry,
          .faults = std::move(faults)};
}

/// @brief Converts a failure of the store into an operator failure.
struct FailureMapper {
  const OperatorChange& change;

  OperatorFailure operator()(const VersionConflict& conflict) const {
    OperatorFailure failure{.code = Code::kVersionConflict,
                            .current_version = conflict.current_version,
                            .current_document = conflict.current_document};
    if (change.precondition.kind == Precondition::Kind::kNone) {
      // Without a version, an operator would overwrite an entry it has never
      // seen.
      failure.code = Code::kPreconditionRequired;
    }
    return failure;
  }
  OperatorFailure operator()(const InvalidChange& invalid) const {
    return MakeInvalid(invalid.faults);
  }
  OperatorFailure operator()(const ChangeIdReused&) const {
    return {.code = Code::kChangeIdReused};
  }
  OperatorFailure operator()(const StoreUnavailable&) const {
    return {.code = Code::kPlatformUnavailable};
  }
  OperatorFailure operator()(const PlatformBehind&) const {
    return {.code = Code::kPlatformBehind};
  }
  OperatorFailure operator()(const TooMuchContention&) const {
    return {.code = Code::kContended};
  }
  OperatorFailure operator()(const ChangeOutcomeUnknown&) const {
    return {.code = Code::kOutcomeUnknown};
  }
};

/// @brief Reports an entry name or owner in the document that contradicts the
/// request.
FieldFaults CheckEnvelope(const Entry& entry, const OperatorChange& change) {
  FieldFaults faults;
  if (!entry.name.IsEmpty() && entry.name != change.entry) {
    faults.push_back({.path = "entry",
                      .code = FaultCode::kNameMismatch,
                      .allowed = change.entry.Value()});
  }
  if (!entry.owner.IsEmpty() && entry.owner != change.owner) {
    faults.push_back({.path = "owner",
                      .code = FaultCode::kOwnerChange,
                      .allowed = change.owner.Value()});
  }
  return faults;
}

}  // namespace

OperatorApi::OperatorApi(Ports ports) : ports_(std::move(ports)) {}

Result<EntryAnswer, OperatorFailure> OperatorApi::Get(const EntryName& entry) {
  if (!IsEntryName(entry.Value())) {
    return OperatorFailure{.code = Code::kBadEntryName};
  }
  const auto result = ports_.store.Read(entry);
  if (IsOk(result)) {
    if (ValueOf(result).version == 0) {
      return OperatorFailure{.code = Code::kNotFound};
    }
    return EntryAnswer{.document = ValueOf(result).document,
                       .version = ValueOf(result).version};
  }

  const SharedCatalogueView view = ports_.replica.View();
  const Entry* held = view->Find(entry);
  if (held == nullptr) {
    return OperatorFailure{.code = Code::kPlatformUnavailable};
  }
  return EntryAnswer{.document = FormatEntry(*held),
                     .version = held->version,
                     .is_from_replica = true};
}

Result<ChangeAnswer, OperatorFailure> OperatorApi::Put(
    const OperatorChange& change) {
  if (auto failure = CheckNames(change)) {
    return *std::move(failure);
  }
  auto parsed = ParseEntry(change.document, UnknownFields::kRefuse);
  FieldFaults faults =
      IsOk(parsed) ? CheckEnvelope(ValueOf(parsed), change) : ErrorOf(parsed);
  if (!faults.empty()) {
    OperatorFailure failure = MakeInvalid(std::move(faults));
    failure.change_id = change.change_id;
    return failure;
  }
  return Accept(change,
                {.entry = change.entry,
                 .body = TakeValue(std::move(parsed)).body,
                 .expected_version = ExpectedVersion(change.precondition)});
}

Result<ChangeAnswer, OperatorFailure> OperatorApi::Delete(
    const OperatorChange& change) {
  if (auto failure = CheckNames(change)) {
    return *std::move(failure);
  }
  if (change.precondition.kind != Precondition::Kind::kVersion ||
      change.precondition.version == 0) {
    return OperatorFailure{.code = Code::kPreconditionRequired,
                           .change_id = change.change_id};
  }
  return Accept(change, {.entry = change.entry,
                         .body = {},
                         .expected_version = change.precondition.version});
}

std::optional<OperatorFailure> OperatorApi::CheckNames(
    const OperatorChange& change) const {
  if (!IsEntryName(change.entry.Value())) {
    return OperatorFailure{.code = Code::kBadEntryName};
  }
  if (!change.change_id.empty() && !IsEntryName(change.change_id)) {
    return OperatorFailure{.code = Code::kBadChangeId};
  }
  return std::nullopt;
}

Result<ChangeAnswer, OperatorFailure> OperatorApi::Accept(
    const OperatorChange& change,
    ChangeRequest request) {
  request.owner = change.owner;
  request.held_revision = ports_.replica.Revision();
  request.change_id =
      change.change_id.empty() ? ports_.make_change_id() : change.change_id;
  const ChangeResult result = ports_.store.Accept(request);
  if (!IsOk(result)) {
    OperatorFailure failure =
        std::visit(FailureMapper{change}, ErrorOf(result));
    failure.change_id = request.change_id;
    return failure;
  }

  const AcceptedResult& accepted = ValueOf(result);
  return ChangeAnswer{.change_id = request.change_id,
                      .revision = accepted.revision,
                      .version = accepted.version,
                      .is_created = request.expected_version == 0,
                      .was_already_accepted = accepted.was_already_accepted};
}

Result<std::vector<HistoryItem>, OperatorFailure> OperatorApi::History(
    const EntryName& entry,
    std::size_t limit) {
  if (!IsEntryName(entry.Value())) {
    return OperatorFailure{.code = Code::kBadEntryName};
  }
  auto history = ports_.store.History(entry, limit);
  if (!IsOk(history)) {
    return OperatorFailure{.code = Code::kPlatformUnavailable};
  }
  if (ValueOf(history).empty()) {
    return OperatorFailure{.code = Code::kNotFound};
  }
  return TakeValue(std::move(history));
}

ListAnswer OperatorApi::List(std::string_view kind) const {
  const SharedCatalogueView view = ports_.replica.View();
  ListAnswer answer{.revision = view->Revision()};
  for (const auto& [name, entry] : view->Entries()) {
    if (!kind.empty() && kind != KindOf(entry.body)) {
      continue;
    }
    answer.entries.push_back({.name = name,
                              .kind = std::string(KindOf(entry.body)),
                              .owner = entry.owner,
                              .version = entry.version,
                              .revision = entry.revision});
  }
  return answer;
}

}  // namespace medlarcroft::catalogue
