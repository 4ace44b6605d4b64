#ifndef MEDLARCROFT_IDEMPOTENCY_CLAIM_ROW_H_
#define MEDLARCROFT_IDEMPOTENCY_CLAIM_ROW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/idempotency/durable_claims.h"

namespace medlarcroft::idempotency {

/// @brief The value of a claim row.
struct ClaimRow {
  Claimant claimant;
  /// Random for each claim; shows whether the row was written by this attempt.
  std::uint64_t nonce = 0;
  bool is_fence = false;
};

[[nodiscard]] std::string EncodeClaimRow(const ClaimRow& row);

/// @return the row, or nullopt when the text does not have this format.
[[nodiscard]] std::optional<ClaimRow> DecodeClaimRow(std::string_view text);

/// @return the key before which all rows that expired before `time` sort.
[[nodiscard]] std::string ClaimRowsBefore(WallTime time);

/// @brief The key prefix of all claim rows.
inline constexpr std::string_view kClaimPrefix = "claim/";

}  // namespace medlarcroft::idempotency

#endif  // MEDLARCROFT_IDEMPOTENCY_CLAIM_ROW_H_
