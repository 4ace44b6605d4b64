#include "medlarcroft/catalogue/catalogue_store.h"

#include <algorithm>
#include <utility>

#include "change_attempts.h"
#include "medlarcroft/catalogue/entry_codec.h"
#include "medlarcroft/catalogue/snapshot_codec.h"

namespace medlarcroft::catalogue {

CatalogueStore::CatalogueStore(Options options, Ports ports)
    : options_(options),
      ports_(std::move(ports)),
      state_(std::make_shared<const CatalogueState>()) {}

ChangeResult CatalogueStore::Accept(const ChangeRequest& request) {
  ChangeAttempts attempts(request, ports_.table, ports_.clock);
  CatalogueReader reader(ports_.table, ports_.objects);
  const MonotonicTime latest_start = ports_.clock.Now() + options_.time_limit;

  for (int attempt = 0; attempt < options_.max_attempts; ++attempt) {
    if (attempt > 0) {
      ports_.sleep(Backoff(attempt));
    }
    if (ports_.clock.Now() >= latest_start) {
      break;
    }

    const auto head = reader.ReadHead();
    if (!IsOk(head)) {
      attempts.NotePlatformUnavailable();
      continue;
    }
    if (!attempts.CheckHeadRevision(ValueOf(head))) {
      continue;
    }
    const auto state = CatchUp(ValueOf(head).revision);
    if (!IsOk(state)) {
      attempts.NotePlatformUnavailable();
      continue;
    }
    if (ValueOf(state)->Revision() != ValueOf(head).revision) {
      continue;  // The head is stale, so its commit would fail.
    }
    if (auto result = attempts.MakeAttempt(ValueOf(head), *ValueOf(state))) {
      if (IsOk(*result)) {
        WriteSnapshotIfDue();
      }
      return *std::move(result);
    }
  }
  return attempts.FinalFailure();
}

Result<EntryReadResult, CatalogueReadFailure> CatalogueStore::Read(
    const EntryName& entry) {
  const auto row = ports_.table.Read(EntryKey(entry));
  if (!IsOk(row)) {
    return CatalogueReadFailure::kNoAnswer;
  }
  const std::string& value = ValueOf(row).value;
  if (ValueOf(row).version == 0 || ParseTombstone(value)) {
    return EntryReadResult{};
  }
  const auto parsed = ParseEntry(value, UnknownFields::kIgnore);
  if (!IsOk(parsed)) {
    return CatalogueReadFailure::kDamagedRow;
  }
  return EntryReadResult{.version = ValueOf(parsed).version, .document = value};
}

Result<std::vector<HistoryItem>, CatalogueReadFailure> CatalogueStore::History(
    const EntryName& entry,
    std::size_t limit) {
  const auto rows =
      ports_.table.Scan(FirstHistoryKey(entry), EndOfHistoryKeys(entry), limit);
  if (!IsOk(rows)) {
    return CatalogueReadFailure::kNoAnswer;
  }

  std::vector<HistoryItem> items;
  for (const ports::Row& row : ValueOf(rows)) {
    auto item = ParseHistoryItem(row.value);
    if (!item) {
      return CatalogueReadFailure::kDamagedRow;
    }
    items.push_back(*std::move(item));
  }
  return items;
}

bool CatalogueStore::WriteSnapshotIfDue() {
  const auto row = ports_.table.Read(kSnapshotsKey);
  if (!IsOk(row)) {
    return false;
  }
  auto pointers = ParseSnapshots(ValueOf(row).value)
                      .value_or(std::vector<SnapshotPointer>());
  const std::uint64_t newest = pointers.empty() ? 0 : pointers.front().revision;
  const auto state = State();
  if (state->Revision() < newest + options_.snapshot_interval) {
    return false;
  }

  const std::string bytes = EncodeSnapshot(state->MakeSnapshot());
  const std::string object = "catalogue-snapshot-" +
                             std::to_string(state->Revision()) + "-" +
                             ChecksumOf(bytes);
  if (!IsOk(ports_.objects.Put(object, bytes))) {
    return false;
  }
  pointers.insert(pointers.begin(),
                  {.revision = state->Revision(), .object = object});
  pointers.resize(std::min(pointers.size(), options_.kept_snapshots));
  // The condition prevents the row from reverting to an older snapshot.
  const auto outcome =
      ports_.table.Commit({.conditions = {{.key = std::string(kSnapshotsKey),
                                           .version = ValueOf(row).version}},
                           .writes = {{.key = std::string(kSnapshotsKey),
                                       .value = FormatSnapshots(pointers)}}});
  return IsOk(outcome) && ValueOf(outcome).committed;
}

std::shared_ptr<const CatalogueState> CatalogueStore::State() const {
  const std::lock_guard lock(mutex_);
  return state_;
}

Result<std::shared_ptr<const CatalogueState>, CatalogueReadFailure>
CatalogueStore::CatchUp(std::uint64_t revision) {
  const auto known = State();
  if (known->Revision() >= revision) {
    return known;
  }

  auto newer = std::make_shared<CatalogueState>(*known);
  CatalogueReader reader(ports_.table, ports_.objects);
  const auto caught_up = reader.CatchUp(*newer, revision);
  {
    const std::lock_guard lock(mutex_);
    if (newer->Revision() > state_->Revision()) {
      state_ = newer;
    }
  }
  if (!IsOk(caught_up)) {
    return ErrorOf(caught_up);
  }
  return std::shared_ptr<const CatalogueState>(newer);
}

/// Full jitter: writers competing for the head row that back off by the same
/// time would collide again.
Duration CatalogueStore::Backoff(int attempt) {
  const std::lock_guard lock(mutex_);
  const Duration longest =
      std::min(options_.max_backoff, options_.first_backoff * (1 << attempt));
  return FromSeconds(ToSeconds(longest) * ports_.random.NextUnit());
}

}  // namespace medlarcroft::catalogue
