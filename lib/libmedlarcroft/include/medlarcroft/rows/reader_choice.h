#ifndef MEDLARCROFT_ROWS_READER_CHOICE_H_
#define MEDLARCROFT_ROWS_READER_CHOICE_H_

#include <span>
#include <string>
#include <string_view>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::rows {

/// @brief A live host that may read a table for its region.
struct ReaderCandidate {
  HostName host;
  std::string address;
  double link_mbps = 0;
};

/// @brief Chooses the host that reads a table for its region, by rendezvous
/// hashing: the same one on all hosts that know of the same candidates, a host
/// with twice the link twice as likely, and another host only when that one
/// goes or a better one comes.
///
/// Load: some thirty hosts hear a table from one. With equal weights a host
/// with 10 Mbit/s read for them and lost its followers as 260 targets
/// registered.
/// @return null when there are no candidates.
[[nodiscard]] const ReaderCandidate* ChooseReader(
    std::string_view table,
    std::span<const ReaderCandidate> candidates);

}  // namespace medlarcroft::rows

#endif  // MEDLARCROFT_ROWS_READER_CHOICE_H_
