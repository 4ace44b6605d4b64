#ifndef MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_TOKENS_H_
#define MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_TOKENS_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarcroft/core/identifiers.h"

namespace medlarcroft::adapters {

/// @brief An operator's bearer token.
struct OperatorToken {
  std::string token;
  OwnerName owner;
};

/// @brief Maps bearer tokens to owners. Only digests are stored, and all of
/// them are compared in full, so that the time taken reveals nothing about how
/// much of a guessed token was right.
class OperatorTokens {
 public:
  explicit OperatorTokens(const std::vector<OperatorToken>& tokens);

  /// @param header value of the Authorization field, "Bearer TOKEN".
  [[nodiscard]] std::optional<OwnerName> FindOwner(
      std::string_view header) const;

 private:
  using Digest = std::array<unsigned char, 32>;
  struct StoredToken {
    Digest digest;
    OwnerName owner;
  };

  [[nodiscard]] static Digest DigestOf(std::string_view token);

  std::vector<StoredToken> stored_tokens_;
};

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_HTTP_OPERATOR_TOKENS_H_
