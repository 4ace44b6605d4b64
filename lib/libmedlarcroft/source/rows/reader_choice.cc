#include "medlarcroft/rows/reader_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace medlarcroft::rows {

namespace {

/// Mbit/s of a host that told none: it may read, but rarely does.
constexpr double kLeastLink = 1;

/// @return uniform in (0, 1), the same on every host.
double UnitOf(std::string_view table, const HostName& host) {
  const std::uint64_t hash =
      XXH3_64bits_withSeed(host.Value().data(), host.Value().size(),
                           XXH3_64bits(table.data(), table.size()));
  return (static_cast<double>(hash >> 11U) + 0.5) * 0x1.0p-53;
}

}  // namespace

const ReaderCandidate* ChooseReader(
    std::string_view table,
    std::span<const ReaderCandidate> candidates) {
  const ReaderCandidate* chosen = nullptr;
  double least = std::numeric_limits<double>::infinity();
  for (const ReaderCandidate& candidate : candidates) {
    const double link = std::max(candidate.link_mbps, kLeastLink);
    const double cost = -std::log(UnitOf(table, candidate.host)) / link;
    if (cost < least) {
      least = cost;
      chosen = &candidate;
    }
  }
  return chosen;
}

}  // namespace medlarcroft::rows
