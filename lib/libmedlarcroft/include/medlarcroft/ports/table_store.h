#ifndef MEDLARCROFT_PORTS_TABLE_STORE_H_
#define MEDLARCROFT_PORTS_TABLE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/result.h"

namespace medlarcroft::ports {

/// @brief One row of the platform's table service.
struct Row {
  std::string key;
  std::string value;
  /// Set by the service: 1 after the insertion, incremented by each write; 0
  /// means that the row does not exist.
  std::uint64_t version = 0;
};

/// @brief Why a store call failed.
enum class StoreFailure {
  kUnavailable,     ///< Rejected or never sent: the call had no effect.
  kOutcomeUnknown,  ///< Sent without a response: a write may have taken
                    ///< effect.
  kBadAnswer,  ///< The response could not be parsed; a write may have taken
               ///< effect.
};

/// @brief Requires a row to have `version` (0: not to exist).
struct RowCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// @brief Writes a row, or deletes it if `value` is nullopt.
struct RowWrite {
  std::string key;
  std::optional<std::string> value;
};

/// @brief Applies all writes atomically if all conditions hold, otherwise none.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

/// @brief The result of a transaction that the store responded to.
struct TransactionOutcome {
  bool committed = false;
  /// If not committed: the current rows whose conditions failed.
  std::vector<Row> conflicting;
};

/// @brief Client for the platform's transactional table service. Calls block,
/// so they must not be made while handling a request. A failed call may have
/// taken effect unless the failure excludes it.
class TableStore {
 public:
  virtual ~TableStore() = default;

  /// @return the row, or one with version 0 if it does not exist.
  [[nodiscard]] virtual Result<Row, StoreFailure> Read(
      std::string_view key) = 0;

  /// @return the rows with `first` <= key < `last` in key order, at most
  /// `limit`.
  [[nodiscard]] virtual Result<std::vector<Row>, StoreFailure>
  Scan(std::string_view first, std::string_view last, std::size_t limit) = 0;

  [[nodiscard]] virtual Result<TransactionOutcome, StoreFailure> Commit(
      const Transaction& transaction) = 0;
};

}  // namespace medlarcroft::ports

#endif  // MEDLARCROFT_PORTS_TABLE_STORE_H_
