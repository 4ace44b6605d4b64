#ifndef MEDLARCROFT_REPLICATION_ROW_H_
#define MEDLARCROFT_REPLICATION_ROW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/result.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::replication {

/// @brief One row of a versioned table.
struct Row {
  std::string key;
  std::string value;
  /// Of the transaction that wrote or removed it.
  std::uint64_t version = 0;
  bool is_removed = false;
};

/// @brief Rows as of one moment, or those changed up to one.
struct RowBatch {
  std::vector<Row> rows;
  std::uint64_t newest_version = 0;
  bool has_more = false;
  /// Another host's answer holds the whole table, not only what changed.
  bool is_whole = false;
  /// The store's steady clock when it answered; absent in other hosts' answers.
  std::optional<Duration> told_at;
};

/// @brief Why a call brought nothing.
enum class RowFailure {
  /// No connection, or it ended. A write may have been, or may yet be, done.
  kUnreachable,
  kRefused,             ///< Turned away; nothing was done.
  kHistoryUnavailable,  ///< The history that was asked for is gone.
  kConditionFailed,     ///< A row has another version; nothing was done.
  kBadAnswer,           ///< An answer that can't be read.
  kTimedOut,  ///< Sent, and no answer in time; a write as with `kUnreachable`.
};

[[nodiscard]] std::string_view NameOf(RowFailure failure);

using RowsCallback = std::function<void(Result<RowBatch, RowFailure>)>;

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_ROW_H_
