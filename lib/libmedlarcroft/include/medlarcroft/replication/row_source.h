#ifndef MEDLARCROFT_REPLICATION_ROW_SOURCE_H_
#define MEDLARCROFT_REPLICATION_ROW_SOURCE_H_

#include <cstdint>
#include <string_view>

#include "medlarcroft/core/time.h"
#include "medlarcroft/replication/row.h"

namespace medlarcroft::replication {

/// How much later than its hold an answer of the store may arrive before the
/// call is given up. A packet that is lost between regions is retransmitted
/// within a second.
inline constexpr Duration kStoreAnswerMargin = std::chrono::milliseconds(1200);

/// @brief Source of rows. Each method makes one call, without retries. Each
/// callback runs once, never before the method has returned, and all run on one
/// thread.
class RowSource {
 public:
  virtual ~RowSource() = default;

  /// @brief Reads a page of a table, starting at `first_key`.
  virtual void List(std::string_view table,
                    std::string_view first_key,
                    RowsCallback callback) = 0;
  /// @brief Waits up to `wait` for rows changed after `version`. Fails with
  /// `kTimedOut` when no answer has come `kStoreAnswerMargin` after that.
  virtual void Follow(std::string_view table,
                      std::uint64_t version,
                      Duration wait,
                      RowsCallback callback) = 0;
};

}  // namespace medlarcroft::replication

#endif  // MEDLARCROFT_REPLICATION_ROW_SOURCE_H_
