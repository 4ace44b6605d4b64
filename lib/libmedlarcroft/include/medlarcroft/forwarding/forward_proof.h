#ifndef MEDLARCROFT_FORWARDING_FORWARD_PROOF_H_
#define MEDLARCROFT_FORWARDING_FORWARD_PROOF_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::forwarding {

/// @brief Why an entry host forwards a request to another.
enum class ForwardKind {
  /// To run in the other failure domain; the sender keeps the key's ledger
  /// entry.
  kShift,
  kIssuer,  ///< To the host that keeps the key's ledger entry.
};

/// @brief The claim carried in a forwarded request's headers.
struct ForwardClaim {
  HostName sender;
  ForwardKind kind = ForwardKind::kShift;
  WallTime sent_at;
};

/// @brief The parts of a request that a proof covers, so that it cannot be
/// reused for another request.
struct ForwardedRequest {
  std::string_view method;
  std::string_view path;
  std::string_view idempotency_key;
};

/// Maximum clock difference between two entry hosts. A proof repeated within
/// this time is rejected by `ForwardReplayGuard`.
inline constexpr Duration kForwardProofLifetime = std::chrono::seconds(60);

/// @return the text form: `KIND;SENDER;MILLISECONDS`.
[[nodiscard]] std::string FormatForwardClaim(const ForwardClaim& claim);

/// @return nullopt when `text` does not have that format.
[[nodiscard]] std::optional<ForwardClaim> ParseForwardClaim(
    std::string_view text);

/// @return the proof of `claim` for `request` under `secret`, in hexadecimal.
/// It guards against a caller that sets the forwarding headers itself: its
/// non-idempotent request would bypass the ledger and could run twice.
[[nodiscard]] std::string SignForward(const ForwardClaim& claim,
                                      const ForwardedRequest& request,
                                      std::string_view secret);

/// @return whether `proof` was made with `secret` and is recent.
[[nodiscard]] bool IsForwardProofValid(const ForwardClaim& claim,
                                       const ForwardedRequest& request,
                                       std::string_view proof,
                                       std::string_view secret,
                                       WallTime now);

}  // namespace medlarcroft::forwarding

#endif  // MEDLARCROFT_FORWARDING_FORWARD_PROOF_H_
