#ifndef MEDLARCROFT_CAPACITY_SEAT_TABLE_H_
#define MEDLARCROFT_CAPACITY_SEAT_TABLE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "medlarcroft/capacity/seat_row.h"
#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/ports/table_store.h"

namespace medlarcroft::capacity {

/// @brief One seat as read from its row.
struct SeatSnapshot {
  std::uint32_t seat = 0;
  std::uint64_t version = 0;  ///< 0 if there is no row yet.
  SeatRow row;
  bool is_readable = true;  ///< False if the row has an unknown format.

  [[nodiscard]] bool IsTaken() const { return !row.owner.host.IsEmpty(); }
};

using SeatSnapshots = std::vector<SeatSnapshot>;

/// @return the split revision adopted by the owners of all taken seats, or
/// nullopt when they differ or a row cannot be read.
[[nodiscard]] std::optional<std::uint64_t> CommonRevision(
    const SeatSnapshots& snapshots);

/// @return whether any seat has an owner or an unreadable row.
[[nodiscard]] bool IsAnyTaken(const SeatSnapshots& snapshots);

/// @brief The seat rows of one failure domain in the table service.
class SeatTable {
 public:
  SeatTable(FailureDomainName failure_domain, ports::TableStore& store);

  /// @brief Reads all rows in one scan.
  /// @return seats 0 to `seats` - 1, then existing rows of seats that are no
  /// longer declared but still count; nullopt when the store did not answer.
  [[nodiscard]] std::optional<SeatSnapshots> Read(std::uint32_t seats);

  /// @return a transaction that writes `row` if the rows in `conditions` still
  /// have their versions.
  [[nodiscard]] ports::Transaction WriteIf(const SeatSnapshots& conditions,
                                           std::uint32_t seat,
                                           const SeatRow& row) const;

  [[nodiscard]] Result<ports::TransactionOutcome, ports::StoreFailure> Commit(
      const ports::Transaction& transaction) {
    return store_.Commit(transaction);
  }

 private:
  FailureDomainName failure_domain_;
  ports::TableStore& store_;
};

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_TABLE_H_
