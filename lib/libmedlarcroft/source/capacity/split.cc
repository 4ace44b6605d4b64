#include "medlarcroft/capacity/split.h"

#include <xxhash.h>

namespace medlarcroft::capacity {

std::uint32_t SplitLimit(std::string_view limit_name,
                         std::uint32_t limit,
                         std::uint32_t seats,
                         std::uint32_t seat) {
  if (seat >= seats) {
    return 0;
  }
  const auto first = static_cast<std::uint32_t>(
      XXH3_64bits(limit_name.data(), limit_name.size()) % seats);
  const std::uint32_t distance = (seat + seats - first) % seats;
  const std::uint32_t extra = distance < limit % seats ? 1 : 0;
  return (limit / seats) + extra;
}

std::vector<std::uint32_t> SeatsWithShare(std::string_view limit_name,
                                          std::uint32_t limit,
                                          std::uint32_t seats) {
  std::vector<std::uint32_t> found;
  for (std::uint32_t seat = 0; seat < seats; ++seat) {
    if (SplitLimit(limit_name, limit, seats, seat) > 0) {
      found.push_back(seat);
    }
  }
  return found;
}

double SplitRate(double rate, std::uint32_t seats, std::uint32_t seat) {
  return seat < seats ? rate / seats : 0.0;
}

}  // namespace medlarcroft::capacity
