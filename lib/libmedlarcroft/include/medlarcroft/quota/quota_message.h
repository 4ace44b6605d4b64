#ifndef MEDLARCROFT_QUOTA_QUOTA_MESSAGE_H_
#define MEDLARCROFT_QUOTA_QUOTA_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"
#include "medlarcroft/core/time.h"

namespace medlarcroft::quota {

/// @brief Identifies a client account by a hash of its name, the same on every
/// host.
enum class AccountNumber : std::uint64_t {};

[[nodiscard]] AccountNumber NumberOf(const ClientAccountName& account);

/// @brief Identifies a host: `membership::HashOf` its name.
using HostNumber = std::uint32_t;
/// No host.
inline constexpr HostNumber kNoHost = 0;

/// @brief A reading of an issuer's monotonic clock, which only that process
/// interprets.
struct IssuerTime {
  std::uint16_t incarnation = 0;
  std::uint64_t nanoseconds = 0;

  friend bool operator==(const IssuerTime&, const IssuerTime&) = default;
};

/// @brief A host's promise not to use its own share for one lease, counted from
/// now, and to delegate it to no other issuer meanwhile.
struct Delegation {
  /// The latest time that the host received from the issuer. The issuer counts
  /// the lease from it, so that it ends before the host's promise.
  IssuerTime since;
  std::uint32_t hosts = 1;  ///< The share is one part in this many.
  /// How long nobody has used the share, if this is its first use since the
  /// start of the process.
  Duration unused{0};

  friend bool operator==(const Delegation&, const Delegation&) = default;
};

/// @brief A number of tokens of one account.
struct TokenCount {
  AccountNumber account{};
  std::uint16_t tokens = 0;

  friend bool operator==(const TokenCount&, const TokenCount&) = default;
};

/// @brief Asks an issuer for tokens.
struct TokenRequest {
  std::uint32_t number = 0;
  /// The sender is an issuer, and grants the tokens to its hosts.
  bool is_transfer = false;
  std::optional<Delegation> delegation;
  std::vector<TokenCount> wanted;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;
};

/// @brief An issuer's answer. Tokens that it grants are gone from its stock,
/// whether or not the answer arrives.
struct TokenAnswer {
  std::uint32_t number = 0;  ///< Of the request.
  IssuerTime time;
  /// The issuer to which the sender delegates its share; `kNoHost`: itself.
  HostNumber issuer = kNoHost;
  std::vector<TokenCount> granted;
  /// How long this process has surely not used the share of the requesting
  /// host.
  Duration unused{0};

  friend bool operator==(const TokenAnswer&, const TokenAnswer&) = default;
};

/// Accounts in one message, so that it fits into a datagram.
inline constexpr std::size_t kMaxAccountsPerMessage = 90;

[[nodiscard]] std::string EncodeTokenRequest(const TokenRequest& request);
[[nodiscard]] std::string EncodeTokenAnswer(const TokenAnswer& answer);
/// @return nullopt when the length is invalid.
[[nodiscard]] std::optional<TokenRequest> DecodeTokenRequest(
    std::string_view bytes);
[[nodiscard]] std::optional<TokenAnswer> DecodeTokenAnswer(
    std::string_view bytes);

}  // namespace medlarcroft::quota

#endif  // MEDLARCROFT_QUOTA_QUOTA_MESSAGE_H_
