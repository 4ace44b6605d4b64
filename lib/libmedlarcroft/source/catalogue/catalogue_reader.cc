#include "medlarcroft/catalogue/catalogue_reader.h"

#include <utility>

#include "medlarcroft/catalogue/catalogue_rows.h"
#include "medlarcroft/catalogue/snapshot_codec.h"

namespace medlarcroft::catalogue {

namespace {

using ports::StoreFailure;

/// Rows per page. A page of typical documents (about 10 KB each) stays below 1
/// MB.
constexpr std::size_t kPageRows = 64;

}  // namespace

CatalogueReader::CatalogueReader(ports::TableStore& table,
                                 ports::ObjectStore& objects)
    : table_(table), objects_(objects) {}

Result<Head, CatalogueReadFailure> CatalogueReader::ReadHead() {
  const auto row = table_.Read(kHeadKey);
  if (!IsOk(row)) {
    return CatalogueReadFailure::kNoAnswer;
  }
  if (ValueOf(row).version == 0) {
    return Head{};
  }
  const auto revision = ParseHead(ValueOf(row).value);
  if (!revision) {
    return CatalogueReadFailure::kDamagedRow;
  }
  return Head{.revision = *revision, .row_version = ValueOf(row).version};
}

Result<Delta, CatalogueReadFailure> CatalogueReader::ReadChanges(
    std::uint64_t revision) {
  const auto rows = ScanPage(revision);
  if (!IsOk(rows)) {
    return CatalogueReadFailure::kNoAnswer;
  }

  Delta delta{.from_revision = revision, .to_revision = revision};
  for (const ports::Row& row : ValueOf(rows)) {
    auto change = ParseChange(row.value);
    if (!change) {
      return CatalogueReadFailure::kDamagedRow;
    }
    if (change->revision != delta.to_revision + 1) {
      break;
    }
    delta.to_revision = change->revision;
    delta.changes.push_back(*std::move(change));
  }
  return delta;
}

Result<std::vector<ports::Row>, StoreFailure> CatalogueReader::ScanPage(
    std::uint64_t revision) {
  const std::string first = ChangeKey(revision + 1);
  const std::string last = EndOfChangeKeys();
  std::size_t limit = kPageRows;
  auto rows = table_.Scan(first, last, limit);
  // Documents close to the maximum size can make a page exceed the maximum
  // response size; without smaller pages, a host would stay at that revision
  // forever.
  while (!IsOk(rows) && ErrorOf(rows) == StoreFailure::kBadAnswer &&
         limit > 1) {
    limit /= 4;
    rows = table_.Scan(first, last, limit);
  }
  return rows;
}

Result<std::optional<Delta>, CatalogueReadFailure>
CatalogueReader::ReadSnapshot() {
  const auto row = table_.Read(kSnapshotsKey);
  if (!IsOk(row)) {
    return CatalogueReadFailure::kNoAnswer;
  }
  if (ValueOf(row).version == 0) {
    return std::optional<Delta>();
  }
  const auto pointers = ParseSnapshots(ValueOf(row).value);
  if (!pointers) {
    ++damaged_snapshots_;
    return std::optional<Delta>();
  }

  for (const SnapshotPointer& pointer : *pointers) {
    const auto bytes = objects_.Get(pointer.object);
    if (!IsOk(bytes)) {
      continue;  // An older snapshot plus more changes gives the same state.
    }
    auto snapshot = ValueOf(bytes) ? DecodeSnapshot(*ValueOf(bytes))
                                   : SnapshotFault::kBadContent;
    if (IsOk(snapshot) && ValueOf(snapshot).to_revision == pointer.revision) {
      return std::optional(TakeValue(std::move(snapshot)));
    }
    ++damaged_snapshots_;
  }
  return std::optional<Delta>();
}

Result<Success, CatalogueReadFailure> CatalogueReader::CatchUp(
    CatalogueState& state,
    std::uint64_t revision) {
  if (state.Revision() == 0 && revision > kPageRows) {
    const auto snapshot = ReadSnapshot();
    if (!IsOk(snapshot)) {
      return ErrorOf(snapshot);
    }
    if (ValueOf(snapshot)) {
      state.Replace(*ValueOf(snapshot));
    }
  }

  while (state.Revision() < revision) {
    const auto delta = ReadChanges(state.Revision());
    if (!IsOk(delta)) {
      return ErrorOf(delta);
    }
    if (ValueOf(delta).changes.empty()) {
      // The response came from a lagging replica: the head is newer than the
      // rows.
      return CatalogueReadFailure::kNoAnswer;
    }
    for (const Change& change : ValueOf(delta).changes) {
      if (state.Apply(change) == ApplyResult::kMalformed) {
        return CatalogueReadFailure::kDamagedRow;
      }
    }
  }
  return Success();
}

}  // namespace medlarcroft::catalogue
