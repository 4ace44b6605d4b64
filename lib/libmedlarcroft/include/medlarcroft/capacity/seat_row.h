#ifndef MEDLARCROFT_CAPACITY_SEAT_ROW_H_
#define MEDLARCROFT_CAPACITY_SEAT_ROW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::capacity {

/// @brief The process that holds a seat.
struct SeatOwner {
  HostName host;  ///< Empty if the seat was released.
  std::uint64_t incarnation = 0;

  friend bool operator==(const SeatOwner&, const SeatOwner&) = default;
};

/// @brief Value of a seat's row in the table service.
struct SeatRow {
  SeatOwner owner;
  std::uint64_t epoch = 0;  ///< Incremented with each change of owner.
  /// Newest catalogue revision whose split the owner has adopted.
  std::uint64_t adopted_revision = 0;
};

[[nodiscard]] std::string EncodeSeatRow(const SeatRow& row);

/// @return the row, or nullopt when the text does not have this format.
[[nodiscard]] std::optional<SeatRow> DecodeSeatRow(std::string_view text);

/// @return the key of a seat's row. The rows of one failure domain are adjacent
/// and sorted by seat number.
[[nodiscard]] std::string SeatRowKey(const FailureDomainName& failure_domain,
                                     std::uint32_t seat);

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SEAT_ROW_H_
