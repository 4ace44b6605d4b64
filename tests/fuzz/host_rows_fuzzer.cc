// The rows of hosts and of blocked requests may hold what another writer left:
// decoding returns a value or a typed error and never crashes.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/blocked_request_entry.h"
#include "platform/host_entry.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)medlarcroft::platform::DecodeHostEntry("edge-1", text);
  (void)medlarcroft::platform::DecodeBlockedRequest("blocked-request/1f", text);
  return 0;
}
