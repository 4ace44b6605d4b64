#ifndef MEDLARCROFT_REPLICATION_TABLE_MIRROR_H_
#define MEDLARCROFT_REPLICATION_TABLE_MIRROR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/row.h"

namespace medlarcroft::replication {

/// @brief The rows of one table as this host last received them. Served to
/// hosts that the store refuses, or that do not read it themselves.
class TableMirror {
 public:
  void Replace(std::span<const Row> rows, std::uint64_t version);
  void Apply(std::span<const Row> rows, std::uint64_t version);

  /// @brief Runs `task` after each change.
  void OnChange(std::function<void()> task) { on_change_ = std::move(task); }

  [[nodiscard]] std::uint64_t Version() const { return version_; }
  /// @return the rows changed after `known_version`, with removed rows marked.
  /// Returns the whole table when `known_version` is older than the changes
  /// that are kept.
  [[nodiscard]] RowBatch ChangesSince(std::uint64_t known_version) const;

 private:
  std::uint64_t version_ = 0;
  /// Removals are kept from this version on.
  std::uint64_t history_start_version_ = 0;
  std::map<std::string, Row> rows_;
  std::map<std::string, std::uint64_t> removed_at_;
  std::function<void()> on_change_ = [] {};
};

/// @brief A table that its reader has read from the store itself.
struct FreshTable {
  const TableMirror* mirror = nullptr;  ///< Null when the table is not fresh.
  /// The table is not read yet, since its reader has just started.
  bool is_loading = false;
  /// How long the table counts as fresh unless the store answers again.
  Duration fresh_for{0};
  /// When the store is known to have answered hosts.
  std::optional<AvailableTime> store_available;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_TABLE_MIRROR_H_
