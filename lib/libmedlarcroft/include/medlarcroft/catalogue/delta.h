#ifndef MEDLARCROFT_CATALOGUE_DELTA_H_
#define MEDLARCROFT_CATALOGUE_DELTA_H_

#include <cstdint>
#include <string>
#include <vector>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::catalogue {

/// @brief An accepted change as it is stored and exchanged between hosts. The
/// document is kept as the accepted text, so that a host running an older
/// version forwards fields it does not know.
struct Change {
  std::uint64_t revision =
      0;  ///< Each revision consists of exactly one change.
  EntryName entry;
  std::string document;   ///< Empty if the entry was deleted.
  std::string change_id;  ///< Chosen by the operator.

  friend bool operator==(const Change&, const Change&) = default;
};

/// @brief The changes between two revisions.
struct Delta {
  std::uint64_t from_revision = 0;
  std::uint64_t to_revision = 0;
  /// If true, `changes` contains all entries as of `to_revision`.
  bool is_snapshot = false;
  std::vector<Change> changes;
};

}  // namespace medlarcroft::catalogue

#endif  // MEDLARCROFT_CATALOGUE_DELTA_H_
