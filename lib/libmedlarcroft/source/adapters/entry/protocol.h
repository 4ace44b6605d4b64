#ifndef MEDLARCROFT_ADAPTERS_ENTRY_PROTOCOL_H_
#define MEDLARCROFT_ADAPTERS_ENTRY_PROTOCOL_H_

#include <string_view>

/// @brief Header names and paths of the HTTP interface that callers, targets
/// and entry hosts share, specified in docs/DESIGN.md, section 2.
namespace medlarcroft::adapters::protocol {

inline constexpr std::string_view kServicesPrefix = "/v1/services/";
inline constexpr std::string_view kKeysPath = "/v1/keys";

inline constexpr std::string_view kBrand = "Medlar-Brand";
/// Milliseconds until the caller's deadline, after which it can't use the
/// answer.
inline constexpr std::string_view kDeadline = "Medlar-Deadline-Ms";
inline constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
inline constexpr std::string_view kTraceParent = "traceparent";
inline constexpr std::string_view kOutcome = "Medlar-Outcome";
inline constexpr std::string_view kHost = "Medlar-Host";
inline constexpr std::string_view kTarget = "Medlar-Target";
/// ID of one attempt. A target may echo it; the echoed value must be equal.
inline constexpr std::string_view kRequestId = "Medlar-Request-Id";
/// Set by a target that did not run the request, on a 429 or 503.
inline constexpr std::string_view kTargetNotRun = "Medlar-Target-Not-Run";
/// Set by a target that is draining.
inline constexpr std::string_view kTargetDraining = "Medlar-Target-Draining";
/// Set on requests between entry hosts: the forwarding host, and a proof that
/// the sender is an entry host.
inline constexpr std::string_view kForwardedBy = "Medlar-Forwarded-By";
inline constexpr std::string_view kForwardProof = "Medlar-Forward-Proof";

}  // namespace medlarcroft::adapters::protocol

#endif  // MEDLARCROFT_ADAPTERS_ENTRY_PROTOCOL_H_
