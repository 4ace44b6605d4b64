#include "medlarcroft/idempotency/key_authority.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

namespace medlarcroft::idempotency {

namespace {

Mac MacFor(const std::string& secret, const Key& key) {
  const std::string text = SignedKeyText(key);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &length);
  Mac mac{};
  std::copy_n(digest.begin(), mac.size(), mac.begin());
  return mac;
}

/// Compares in constant time: stopping at the first difference would let a
/// caller find the MAC byte by byte from response times.
bool IsEqual(const Mac& left, const Mac& right) {
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

KeyAuthority::KeyAuthority(KeyAuthorityOptions options,
                           KeySecrets secrets,
                           const ports::Clock& clock)
    : options_(std::move(options)),
      secrets_(std::move(secrets)),
      clock_(clock) {}

Key KeyAuthority::Issue(Mode mode) {
  const WallTime expiry = clock_.WallNow() + options_.lifetime;
  Key key{.id = {.issuer = options_.host,
                 .incarnation = options_.incarnation,
                 .sequence = ++last_sequence_},
          .mode = mode,
          .expiry = WallTime(std::chrono::milliseconds(
              ToMilliseconds(expiry.time_since_epoch())))};
  key.mac = MacFor(secrets_.issuing, key);
  return key;
}

std::optional<KeyRefusal> KeyAuthority::FindRefusal(const Key& key) const {
  if (!IsGenuine(key)) {
    return KeyRefusal::kForged;
  }
  if (key.expiry <= clock_.WallNow()) {
    return KeyRefusal::kExpired;
  }
  return std::nullopt;
}

Result<Success, KeySecretsError> KeyAuthority::Rotate(KeySecrets secrets) {
  if (const auto error = Check(secrets)) {
    return *error;
  }
  secrets_ = std::move(secrets);
  return Success{};
}

std::optional<KeySecretsError> KeyAuthority::Check(const KeySecrets& secrets) {
  if (secrets.issuing.size() < kMinSecretBytes ||
      (secrets.also_accepted &&
       secrets.also_accepted->size() < kMinSecretBytes)) {
    return KeySecretsError::kTooShort;
  }
  if (secrets.also_accepted == secrets.issuing) {
    return KeySecretsError::kIdenticalSecrets;
  }
  return std::nullopt;
}

bool KeyAuthority::IsGenuine(const Key& key) const {
  // Always compute both, so that the response time does not show which one
  // matches.
  const bool is_issuing = IsEqual(MacFor(secrets_.issuing, key), key.mac);
  const bool is_also_accepted =
      secrets_.also_accepted &&
      IsEqual(MacFor(*secrets_.also_accepted, key), key.mac);
  return is_issuing || is_also_accepted;
}

}  // namespace medlarcroft::idempotency
