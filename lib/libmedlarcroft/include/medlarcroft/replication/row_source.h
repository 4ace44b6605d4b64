#ifndef MEDLARCROFT_REPLICATION_ROW_SOURCE_H_
#define MEDLARCROFT_REPLICATION_ROW_SOURCE_H_

#include <cstdint>
#include <string_view>

#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/row.h"

namespace medlarcroft::replication {

/// How much later than its hold an answer of the store may come before the call
/// is given up: a packet that is lost between regions is sent again within a
/// second.
inline constexpr Duration kStoreAnswerMargin = std::chrono::milliseconds(1200);

/// @brief Where rows come from: one call a method, no retries. Callbacks run
/// once each, never before the call has returned, and on one thread.
class RowSource {
 public:
  virtual ~RowSource() = default;

  /// @brief Reads a page of a table, from `first_key` on.
  virtual void List(std::string_view table,
                    std::string_view first_key,
                    RowsCallback callback) = 0;
  /// @brief Waits up to `wait` for rows changed after `version`; it fails with
  /// `kTimedOut` when no answer has come `kStoreAnswerMargin` after that.
  virtual void Follow(std::string_view table,
                      std::uint64_t version,
                      Duration wait,
                      RowsCallback callback) = 0;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_ROW_SOURCE_H_
