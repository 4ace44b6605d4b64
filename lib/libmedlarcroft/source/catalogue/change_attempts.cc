#include "change_attempts.h"

#include <algorithm>
#include <utility>

#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/entry_rules.h"
#include "medlarcroft/catalogue/snapshot_codec.h"

namespace medlarcroft::catalogue {

namespace {

using ports::StoreFailure;

/// @brief Contents of an entry row.
struct EntryRow {
  std::uint64_t version = 0;  ///< Of the entry or tombstone; 0: no row.
  bool is_present = false;
};

EntryRow ParseEntryRow(const ports::Row& row) {
  if (row.version == 0) {
    return {};
  }
  if (const auto tombstone = ParseTombstone(row.value)) {
    return {.version = tombstone->version, .is_present = false};
  }
  // A newer version may have written fields that this version does not know.
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

std::optional<ChangeResult> ChangeAttempts::MakeAttempt(
    const Head& head,
    const CatalogueState& state) {
  const auto rows = ReadRows();
  if (!rows) {
    NotePlatformUnavailable();
    return std::nullopt;
  }
  if (auto earlier_result = ResolveFromChangeIdRow(rows->change_id)) {
    return earlier_result;
  }

  if (auto fault = FindFault(*rows, state)) {
    if (unconfirmed_head_version_ && !IsProvenNotCommitted(head, *rows)) {
      return std::nullopt;
    }
    return *std::move(fault);
  }
  return Commit(head, *rows);
}

bool ChangeAttempts::CheckHeadRevision(const Head& head) {
  platform_behind_.reset();
  if (head.revision >= request_.held_revision) {
    return true;
  }
  platform_behind_ = PlatformBehind{.platform_revision = head.revision,
                                    .held_revision = request_.held_revision};
  return false;
}

ChangeResult ChangeAttempts::FinalFailure() const {
  if (unconfirmed_head_version_) {
    return ChangeFailure(ChangeOutcomeUnknown{request_.change_id});
  }
  if (platform_behind_) {
    return ChangeFailure(*platform_behind_);
  }
  return was_platform_unavailable_ ? ChangeFailure(StoreUnavailable())
                                   : ChangeFailure(TooMuchContention());
}

/// Reads the change-id row last, so that a change visible in the entry row is
/// also visible in its change-id row.
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

std::optional<ChangeResult> ChangeAttempts::ResolveFromChangeIdRow(
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
  const EntryRow row = ParseEntryRow(rows.entry);
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

/// After the response to a commit was lost, reads do not prove that it had no
/// effect: they may come from a lagging replica, or the commit may still be in
/// transit. A transaction without writes proves it: the change-id row is absent
/// and the head has changed since that commit, so its condition on the head can
/// never be met again.
bool ChangeAttempts::IsProvenNotCommitted(const Head& head, const Rows& rows) {
  if (head.row_version <= *unconfirmed_head_version_) {
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
  const std::uint64_t version = ParseEntryRow(rows.entry).version + 1;
  const auto outcome = table_.Commit(MakeTransaction(head, rows, version));
  if (!IsOk(outcome)) {
    if (ErrorOf(outcome) == StoreFailure::kUnavailable) {
      NotePlatformUnavailable();
    } else {
      unconfirmed_head_version_ =
          std::max(unconfirmed_head_version_.value_or(0), head.row_version);
    }
    return std::nullopt;
  }
  if (ValueOf(outcome).committed) {
    return AcceptedResult{.revision = head.revision + 1, .version = version};
  }

  // The conflict may be caused by an earlier attempt at this same change.
  const ports::Row* row =
      FindRow(ValueOf(outcome).conflicting, rows.change_id.key);
  return row == nullptr ? std::nullopt : ResolveFromChangeIdRow(*row);
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
