#include "medlarcroft/forwarding/forward_proof.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <limits>

namespace medlarcroft::forwarding {

namespace {

constexpr std::string_view kShiftText = "shift";
constexpr std::string_view kIssuerText = "issuer";
constexpr char kSeparator = ';';
constexpr std::string_view kHexDigits = "0123456789abcdef";

/// The last whole millisecond that fits a wall time in nanoseconds.
constexpr std::int64_t kMaxMilliseconds =
    std::numeric_limits<std::int64_t>::max() / 1'000'000;

std::string ToHex(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kHexDigits[value >> 4U];
    text += kHexDigits[value & 0xfU];
  }
  return text;
}

std::string SignedText(const ForwardClaim& claim,
                       const ForwardedRequest& request) {
  // No part can contain a line feed, because each comes from the request line
  // or a header.
  std::string text = FormatForwardClaim(claim);
  for (const std::string_view part :
       {request.method, request.path, request.idempotency_key}) {
    text += '\n';
    text += part;
  }
  return text;
}

}  // namespace

std::string FormatForwardClaim(const ForwardClaim& claim) {
  const bool is_shift = claim.kind == ForwardKind::kShift;
  std::string text(is_shift ? kShiftText : kIssuerText);
  text += kSeparator;
  text += claim.sender.Value();
  text += kSeparator;
  text += std::to_string(ToMilliseconds(claim.sent_at.time_since_epoch()));
  return text;
}

std::optional<ForwardClaim> ParseForwardClaim(std::string_view text) {
  const auto first = text.find(kSeparator);
  const auto last = text.rfind(kSeparator);
  if (first == std::string_view::npos || first == last) {
    return std::nullopt;
  }

  ForwardClaim claim;
  const std::string_view kind = text.substr(0, first);
  if (kind == kShiftText) {
    claim.kind = ForwardKind::kShift;
  } else if (kind == kIssuerText) {
    claim.kind = ForwardKind::kIssuer;
  } else {
    return std::nullopt;
  }
  claim.sender = HostName(text.substr(first + 1, last - first - 1));

  std::int64_t milliseconds = 0;
  const std::string_view number = text.substr(last + 1);
  const char* end = number.data() + number.size();
  const auto [stop, error] = std::from_chars(number.data(), end, milliseconds);
  if (error != std::errc() || stop != end || milliseconds < 0 ||
      milliseconds > kMaxMilliseconds) {
    return std::nullopt;
  }
  claim.sent_at = WallTime(std::chrono::milliseconds(milliseconds));
  return claim;
}

std::string SignForward(const ForwardClaim& claim,
                        const ForwardedRequest& request,
                        std::string_view secret) {
  const std::string text = SignedText(claim, request);
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  return ToHex({reinterpret_cast<const char*>(mac.data()), size});
}

bool IsForwardProofValid(const ForwardClaim& claim,
                         const ForwardedRequest& request,
                         std::string_view proof,
                         std::string_view secret,
                         WallTime now) {
  const Duration age = now - claim.sent_at;
  if (age > kForwardProofLifetime || age < -kForwardProofLifetime) {
    return false;
  }
  const std::string expected = SignForward(claim, request, secret);
  return proof.size() == expected.size() &&
         CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

}  // namespace medlarcroft::forwarding
