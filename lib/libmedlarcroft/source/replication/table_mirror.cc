#include "medlarcroft/replication/table_mirror.h"

#include <algorithm>

namespace medlarcroft::replication {

namespace {

// More removals than occur in a busy minute. With more than this, a host that
// lags behind gets the whole table.
constexpr std::size_t kMaxRemovals = 500;

}  // namespace

void TableMirror::Replace(std::span<const Row> rows, std::uint64_t version) {
  rows_.clear();
  removed_at_.clear();
  version_ = version;
  history_start_version_ = version;
  for (const Row& row : rows) {
    rows_[row.key] = row;
  }
  on_change_();
}

void TableMirror::Apply(std::span<const Row> rows, std::uint64_t version) {
  for (const Row& row : rows) {
    const std::uint64_t changed_at = row.version > 0 ? row.version : version;
    if (row.is_removed) {
      rows_.erase(row.key);
      removed_at_[row.key] = changed_at;
    } else {
      rows_[row.key] = row;
      rows_[row.key].version = changed_at;
      removed_at_.erase(row.key);
    }
  }
  version_ = std::max(version_, version);
  if (removed_at_.size() > kMaxRemovals) {
    removed_at_.clear();
    history_start_version_ = version_;
  }
  if (!rows.empty()) {
    on_change_();
  }
}

RowBatch TableMirror::ChangesSince(std::uint64_t known_version) const {
  RowBatch rows{.newest_version = version_,
                // A host without any rows must know that it has received the
                // whole table.
                .is_full_table = known_version == 0 ||
                                 known_version < history_start_version_};
  if (known_version >= version_) {
    return rows;
  }
  for (const auto& [key, row] : rows_) {
    if (rows.is_full_table || row.version > known_version) {
      rows.rows.push_back(row);
    }
  }
  for (const auto& [key, removed_at] : removed_at_) {
    if (!rows.is_full_table && removed_at > known_version) {
      rows.rows.push_back(
          {.key = key, .version = removed_at, .is_removed = true});
    }
  }
  return rows;
}

}  // namespace medlarcroft::replication
