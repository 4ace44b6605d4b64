#include "medlarcroft/idempotency/fingerprint.h"

#include <xxhash.h>

#include <memory>

namespace medlarcroft::idempotency {

namespace {

/// Hashes the length first, so that moving text from one field to the next
/// changes the hash.
void Add(XXH3_state_t* state, std::string_view field) {
  const std::uint64_t size = field.size();
  XXH3_128bits_update(state, &size, sizeof(size));
  XXH3_128bits_update(state, field.data(), field.size());
}

}  // namespace

Fingerprint ComputeFingerprint(const RequestIdentity& request) {
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  Add(state.get(), request.brand);
  Add(state.get(), request.method);
  Add(state.get(), request.service_path);
  Add(state.get(), request.body);
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return {.high = hash.high64, .low = hash.low64};
}

}  // namespace medlarcroft::idempotency
