#include "change_attempts.h"

#include <algorithm>
#include <utility>

#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/entry_rules.h"
#include "medlarcroft/catalogue/snapshot_codec.h"

namespace medlarcroft::catalogue {

namespace {

using ports::StoreFailure;

/// @brief What an entry row says.
struct EntryRow {
  std::uint64_t version = 0;  ///< Of the entry or its tombstone; 0: no row.
  bool is_present = false;
};

EntryRow Interpret(const ports::Row& row) {
  if (row.version == 0) {
    return {};
  }
  if (const auto tombstone = ParseTombstone(row.value)) {
    return {.version = tombstone->version, .is_present = false};
  }
  // A newer version may have written fields that this one doesn't know.
  const auto entry = ParseEntry(row.value, UnknownFields::kIgnore);
  return {.version = IsOk(entry) ? ValueOf(entry).version : row.version,
          .is_present = true};
}

std::string DigestOf(const ChangeRequest& request) {
  std::string text = request.entry.Value() + "\n" + request.owner.Value() +
                     "\n" + std::to_string(request.expected_version) + "\n";
  if (request.body) {
    text += FormatEntry({.name = request.entry, .body = *request.body});
  }
  return ChecksumOf(text);
}

const ports::Row* FindRow(const std::vector<ports::Row>& rows,
                          std::string_view key) {
  for (const ports::Row& row : rows) {
    if (row.key == key) {
      return &row;
    }
  }
  return nullptr;
}

}  // namespace

ChangeAttempts::ChangeAttempts(const ChangeRequest& request,
                               ports::TableStore& table,
                               const ports::Clock& clock)
    : request_(request),
      table_(table),
      clock_(clock),
      digest_(DigestOf(request)) {}

std::optional<ChangeResult> ChangeAttempts::Try(const Head& head,
                                                const CatalogueState& state) {
  const auto rows = ReadRows();
  if (!rows) {
    NoteNoAnswer();
    return std::nullopt;
  }
  if (auto settled = Settle(rows->change_id)) {
    return settled;
  }

  if (auto fault = FindFault(*rows, state)) {
    if (doubtful_head_ && !IsProvedNotDone(head, *rows)) {
      return std::nullopt;
    }
    return *std::move(fault);
  }
  return Commit(head, *rows);
}

bool ChangeAttempts::IsNewEnough(const Head& head) {
  behind_.reset();
  if (head.revision >= request_.held_revision) {
    return true;
  }
  behind_ = PlatformBehind{.platform_revision = head.revision,
                           .held_revision = request_.held_revision};
  return false;
}

ChangeResult ChangeAttempts::GiveUp() const {
  if (doubtful_head_) {
    return ChangeFailure(ChangeOutcomeUnknown{request_.change_id});
  }
  if (behind_) {
    return ChangeFailure(*behind_);
  }
  return had_no_answer_ ? ChangeFailure(StoreUnavailable())
                        : ChangeFailure(TooContended());
}

/// The change-id row is read last: a change that shows in the entry's row then
/// shows in its change-id row too.
std::optional<ChangeAttempts::Rows> ChangeAttempts::ReadRows() {
  auto entry = table_.Read(EntryKey(request_.entry));
  if (!IsOk(entry)) {
    return std::nullopt;
  }
  auto change_id = table_.Read(ChangeIdKey(request_.change_id));
  if (!IsOk(change_id)) {
    return std::nullopt;
  }
  return Rows{.entry = TakeValue(std::move(entry)),
              .change_id = TakeValue(std::move(change_id))};
}

std::optional<ChangeResult> ChangeAttempts::Settle(
    const ports::Row& row) const {
  if (row.version == 0) {
    return std::nullopt;
  }
  const auto accepted = ParseAccepted(row.value);
  if (!accepted || accepted->digest != digest_) {
    return ChangeFailure(
        ChangeIdReused{.revision = accepted ? accepted->revision : 0});
  }
  return AcceptedResult{.revision = accepted->revision,
                        .version = accepted->version,
                        .was_already_accepted = true};
}

std::optional<ChangeFailure> ChangeAttempts::FindFault(
    const Rows& rows,
    const CatalogueState& state) const {
  const EntryRow row = Interpret(rows.entry);
  const std::uint64_t current = row.is_present ? row.version : 0;
  if (current != request_.expected_version) {
    return VersionConflict{
        .current_version = current,
        .current_document = row.is_present ? rows.entry.value : std::string()};
  }

  const SharedCatalogueView view = state.MakeView();
  FieldFaults faults =
      request_.body ? CheckChange(*view, {.name = request_.entry,
                                          .owner = request_.owner,
                                          .body = *request_.body})
                    : CheckDeletion(*view, request_.entry, request_.owner);
  if (faults.empty()) {
    return std::nullopt;
  }
  return InvalidChange{.faults = std::move(faults)};
}

/// After a lost answer, what reads show is not proof enough: they may come from
/// a lagging copy, or the commit may still be on its way. A transaction without
/// writes proves it: the change-id row is absent and the head has moved on
/// since that commit, so its condition on the head can never be met again.
bool ChangeAttempts::IsProvedNotDone(const Head& head, const Rows& rows) {
  if (head.row_version <= *doubtful_head_) {
    return false;
  }
  const auto outcome = table_.Commit(
      {.conditions = {{.key = std::string(kHeadKey),
                       .version = head.row_version},
                      {.key = rows.entry.key, .version = rows.entry.version},
                      {.key = rows.change_id.key, .version = 0}},
       .writes = {}});
  return IsOk(outcome) && ValueOf(outcome).committed;
}

std::optional<ChangeResult> ChangeAttempts::Commit(const Head& head,
                                                   const Rows& rows) {
  const std::uint64_t version = Interpret(rows.entry).version + 1;
  const auto outcome = table_.Commit(MakeTransaction(head, rows, version));
  if (!IsOk(outcome)) {
    if (ErrorOf(outcome) == StoreFailure::kUnavailable) {
      NoteNoAnswer();
    } else {
      doubtful_head_ = std::max(doubtful_head_.value_or(0), head.row_version);
    }
    return std::nullopt;
  }
  if (ValueOf(outcome).committed) {
    return AcceptedResult{.revision = head.revision + 1, .version = version};
  }

  // An earlier attempt of this change may be what stands in the way.
  const ports::Row* row =
      FindRow(ValueOf(outcome).conflicting, rows.change_id.key);
  return row == nullptr ? std::nullopt : Settle(*row);
}

ports::Transaction ChangeAttempts::MakeTransaction(
    const Head& head,
    const Rows& rows,
    std::uint64_t version) const {
  const std::uint64_t revision = head.revision + 1;
  const std::string document = MakeDocument(revision, version);
  const std::string entry_value =
      request_.body ? document : FormatTombstone({.version = version});
  return {
      .conditions = {{.key = std::string(kHeadKey),
                      .version = head.row_version},
                     {.key = rows.entry.key, .version = rows.entry.version},
                     {.key = rows.change_id.key, .version = 0}},
      .writes = {
          {.key = std::string(kHeadKey), .value = FormatHead(revision)},
          {.key = rows.entry.key, .value = entry_value},
          {.key = ChangeKey(revision),
           .value = FormatChange({.revision = revision,
                                  .entry = request_.entry,
                                  .document = document,
                                  .change_id = request_.change_id})},
          {.key = rows.change_id.key,
           .value = FormatAccepted({.entry = request_.entry,
                                    .revision = revision,
                                    .version = version,
                                    .digest = digest_})},
          {.key = HistoryKey(request_.entry, revision),
           .value = FormatHistoryItem({.revision = revision,
                                       .version = version,
                                       .owner = request_.owner,
                                       .change_id = request_.change_id,
                                       .accepted_at_ms = ToMilliseconds(
                                           clock_.WallNow().time_since_epoch()),
                                       .is_deletion = !request_.body})}}};
}

std::string ChangeAttempts::MakeDocument(std::uint64_t revision,
                                         std::uint64_t version) const {
  if (!request_.body) {
    return {};
  }
  return FormatEntry({.name = request_.entry,
                      .owner = request_.owner,
                      .version = version,
                      .revision = revision,
                      .body = *request_.body});
}

}  // namespace medlarcroft::catalogue
