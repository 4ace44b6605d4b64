#ifndef MEDLARCROFT_FORWARDING_FORWARD_PROOF_H_
#define MEDLARCROFT_FORWARDING_FORWARD_PROOF_H_

#include <optional>
#include <string>
#include <string_view>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::forwarding {

/// @brief Why an entry host sends a request on to another.
enum class ForwardKind {
  kShift,   ///< To run in the other failure domain; the sender guards the key.
  kIssuer,  ///< To the host that guards the key.
};

/// @brief What a forwarded request's head claims.
struct ForwardClaim {
  HostName sender;
  ForwardKind kind = ForwardKind::kShift;
  WallTime sent_at;
};

/// @brief The parts of a request that a proof binds, so that one cannot be
/// lifted to another request.
struct ForwardedRequest {
  std::string_view method;
  std::string_view path;
  std::string_view idempotency_key;
};

/// How far the clocks of two entry hosts may be apart. A proof that is sent
/// again within this time is caught by `ForwardReplayGuard`.
inline constexpr Duration kForwardProofLifetime = std::chrono::seconds(60);

/// @return the text form: `KIND;SENDER;MILLISECONDS`.
[[nodiscard]] std::string FormatForwardClaim(const ForwardClaim& claim);

/// @return nullopt when `text` is not of that form.
[[nodiscard]] std::optional<ForwardClaim> ParseForwardClaim(
    std::string_view text);

/// @return the proof of `claim` for `request` under `secret`, in hexadecimal.
/// Failure prevented: a caller that sets the headers itself would have its
/// non-idempotent request run past the ledger, so twice.
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
