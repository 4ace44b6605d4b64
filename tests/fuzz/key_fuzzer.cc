// Keys and forward claims come from callers' headers: every value that parses
// must format and parse again, and nothing may crash.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "medlarcroft/forwarding/forward_proof.h"
#include "medlarcroft/idempotency/key.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace idempotency = medlarcroft::idempotency;
  namespace forwarding = medlarcroft::forwarding;
  const std::string_view text(reinterpret_cast<const char*>(data), size);

  const auto key = idempotency::ParseKey(text);
  if (medlarcroft::IsOk(key)) {
    const auto again = idempotency::ParseKey(
        idempotency::FormatKey(medlarcroft::ValueOf(key)));
    if (!medlarcroft::IsOk(again) ||
        medlarcroft::ValueOf(again) != medlarcroft::ValueOf(key)) {
      std::abort();
    }
  }
  if (const auto claim = forwarding::ParseForwardClaim(text)) {
    if (!forwarding::ParseForwardClaim(
            forwarding::FormatForwardClaim(*claim))) {
      std::abort();
    }
  }
  return 0;
}
