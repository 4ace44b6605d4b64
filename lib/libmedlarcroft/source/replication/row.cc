#include "medlarcroft/replication/row.h"

#include <array>
#include <cstddef>

namespace medlarcroft::replication {

namespace {

constexpr std::array<std::string_view, 6> kFailureNames = {
    "unreachable",      "refused",    "forgotten",
    "condition-failed", "bad-answer", "timed-out"};

}  // namespace

std::string_view NameOf(RowFailure failure) {
  return kFailureNames.at(static_cast<std::size_t>(failure));
}

}  // namespace medlarcroft::replication
