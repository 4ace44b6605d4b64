// The store's answer with rows comes from outside: whatever the bytes, reading
// it gives a value or a typed fault, and never a crash.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "platform/store_client.h"

// NOLINTNEXTLINE(readability-identifier-naming): the library's name for it.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)medlarcroft::platform::DecodeRows(text);
  return 0;
}
