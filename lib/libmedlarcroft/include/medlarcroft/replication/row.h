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
#include "medlarcroft/replication/store_availability.h"

namespace medlarcroft::replication {

/// @brief One row of a versioned table.
struct Row {
  std::string key;
  std::string value;
  /// Version of the transaction that wrote or removed the row.
  std::uint64_t version = 0;
  bool is_removed = false;
};

/// @brief Rows of a table as of one version, or those changed up to it.
struct RowBatch {
  std::vector<Row> rows;
  std::uint64_t newest_version = 0;
  bool has_more = false;
  /// In answers of other hosts: whether these are all rows of the table, not
  /// only the changed ones.
  bool is_full_table = false;
  /// The store's steady clock when it answered; absent in other hosts' answers.
  std::optional<Duration> store_time;
  /// In answers of other hosts: when the store is known to have answered.
  std::optional<AvailableTime> store_available;
};

/// @brief Why a call failed.
enum class RowFailure {
  /// No connection, or it was closed. A write may have been applied, or may
  /// still be.
  kUnreachable,
  kRefused,             ///< The call was refused, and nothing was done.
  kHistoryUnavailable,  ///< The requested history is no longer kept.
  kConditionFailed,     ///< A row has another version; nothing was done.
  kBadAnswer,           ///< The answer can't be decoded.
  kTimedOut,  ///< The call was sent, but not answered in time. A write may have
              ///< been applied, or may still be.
};

[[nodiscard]] std::string_view NameOf(RowFailure failure);

using RowsCallback = std::function<void(Result<RowBatch, RowFailure>)>;

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_ROW_H_
