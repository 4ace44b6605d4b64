#ifndef MEDLARCROFT_ROWS_ROW_SOURCE_H_
#define MEDLARCROFT_ROWS_ROW_SOURCE_H_

#include <cstdint>
#include <string_view>

#include "medlarcroft/core/time.h"
#include "medlarcroft/rows/row.h"

namespace medlarcroft::rows {

/// @brief Where rows come from: one call a method, no retries. Callbacks run
/// once each, never before the call has returned, and on one thread.
class RowSource {
 public:
  virtual ~RowSource() = default;

  /// @brief Reads a page of a table, from `first_key` on.
  virtual void List(std::string_view table,
                    std::string_view first_key,
                    RowsCallback callback) = 0;
  /// @brief Waits up to `wait` for rows changed after `version`.
  virtual void Follow(std::string_view table,
                      std::uint64_t version,
                      Duration wait,
                      RowsCallback callback) = 0;
};

}  // namespace medlarcroft::rows

#endif  // MEDLARCROFT_ROWS_ROW_SOURCE_H_
