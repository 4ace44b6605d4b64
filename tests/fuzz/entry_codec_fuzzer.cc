#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "medlarcroft/catalogue/entry_codec.h"

namespace {

using medlarcroft::IsOk;
using medlarcroft::ValueOf;
using medlarcroft::catalogue::FormatEntry;
using medlarcroft::catalogue::ParseEntry;
using medlarcroft::catalogue::UnknownFields;

/// Every accepted document must be accepted again, unchanged, after formatting.
void CheckRoundTrip(std::string_view document, UnknownFields policy) {
  const auto entry = ParseEntry(document, policy);
  if (!IsOk(entry)) {
    return;
  }
  const std::string formatted = FormatEntry(ValueOf(entry));
  const auto again = ParseEntry(formatted, UnknownFields::kIgnore);
  if (!IsOk(again) || FormatEntry(ValueOf(again)) != formatted) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view document(reinterpret_cast<const char*>(data), size);
  CheckRoundTrip(document, UnknownFields::kRefuse);
  CheckRoundTrip(document, UnknownFields::kIgnore);
  return 0;
}
