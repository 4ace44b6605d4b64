// The client block map comes from the object store: a corrupt one is rejected
// with a typed error, and no more memory is allocated than its size justifies.
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "medlarcroft/catalogue/snapshot_codec.h"
#include "medlarcroft/membership/heartbeat.h"
#include "medlarcroft/steering/block_map_codec.h"

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  static_cast<void>(medlarcroft::steering::DecodeBlockMap(bytes));
  static_cast<void>(medlarcroft::catalogue::DecodeSnapshot(bytes));
  static_cast<void>(medlarcroft::membership::DecodeHeartbeats(bytes));
  return 0;
}
