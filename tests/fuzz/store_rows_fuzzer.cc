// The store's response with rows is external input and may contain any bytes:
// decoding returns a value or a typed error and never crashes.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/store_client.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)medlarcroft::platform::DecodeRows(text);
  return 0;
}
