#include "adapters/http/operator_tokens.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace medlarcroft::adapters {

namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

OperatorTokens::OperatorTokens(const std::vector<OperatorToken>& tokens) {
  for (const OperatorToken& token : tokens) {
    if (!token.token.empty()) {
      stored_tokens_.push_back(
          {.digest = DigestOf(token.token), .owner = token.owner});
    }
  }
}

std::optional<OwnerName> OperatorTokens::FindOwner(
    std::string_view header) const {
  if (!header.starts_with(kScheme)) {
    return std::nullopt;
  }
  const Digest digest = DigestOf(header.substr(kScheme.size()));

  std::optional<OwnerName> owner;
  for (const StoredToken& stored : stored_tokens_) {
    if (CRYPTO_memcmp(digest.data(), stored.digest.data(), digest.size()) ==
        0) {
      owner = stored.owner;
    }
  }
  return owner;
}

OperatorTokens::Digest OperatorTokens::DigestOf(std::string_view token) {
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
         digest.data());
  return digest;
}

}  // namespace medlarcroft::adapters
