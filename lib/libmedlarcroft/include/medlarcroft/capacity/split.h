#ifndef MEDLARCROFT_CAPACITY_SPLIT_H_
#define MEDLARCROFT_CAPACITY_SPLIT_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace medlarcroft::capacity {

/// @brief Returns the share of `limit` that belongs to seat number `seat` (from
/// 0) of `seats`. The shares of all seats add up to `limit`. The first seat to
/// get a unit of the remainder is chosen by a hash of the limit's name, so that
/// the many limits smaller than the number of seats do not all go to the first
/// seats.
/// @return 0 when `seats` is 0 or there is no such seat.
[[nodiscard]] std::uint32_t SplitLimit(std::string_view limit_name,
                                       std::uint32_t limit,
                                       std::uint32_t seats,
                                       std::uint32_t seat);

/// @return the seats with a share of `limit` above 0, which can lend.
[[nodiscard]] std::vector<std::uint32_t> SeatsWithShare(
    std::string_view limit_name,
    std::uint32_t limit,
    std::uint32_t seats);

/// @return a seat's share of a rate or another divisible limit; 0 when there is
/// no such seat.
[[nodiscard]] double SplitRate(double rate,
                               std::uint32_t seats,
                               std::uint32_t seat);

}  // namespace medlarcroft::capacity

#endif  // MEDLARCROFT_CAPACITY_SPLIT_H_
