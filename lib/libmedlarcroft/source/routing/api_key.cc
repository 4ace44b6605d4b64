#include "medlarcroft/routing/api_key.h"

#include <openssl/sha.h>

#include <algorithm>

namespace medlarcroft::routing {

ApiKeyDigest ApiKeyDigest::Of(std::string_view key) {
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> whole{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         whole.data());
  ApiKeyDigest digest;
  std::copy_n(whole.begin(), digest.bytes_.size(), digest.bytes_.begin());
  return digest;
}

}  // namespace medlarcroft::routing
