// Messages from a peer: frames of any length and content must be rejected or
// parsed within the size limits, and every parsed message must convert.
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include "adapters/peer/compact_protocol.h"
#include "adapters/peer/frame.h"
#include "adapters/peer/peer_channel.h"
#include "adapters/peer/wire_conversion.h"
#include "adapters/platform/catalogue_wire_conversion.h"

namespace {

using apache::thrift::transport::TMemoryBuffer;

template <typename Message>
bool Read(std::span<const std::uint8_t> bytes, Message& message) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  buffer->write(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
  try {
    message.read(medlarcroft::adapters::MakeCompactProtocol(buffer).get());
    return true;
  } catch (const apache::thrift::TException&) {
    return false;
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): required by libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace adapters = medlarcroft::adapters;
  namespace wire = medlarcroft::wire;
  const std::span<const std::uint8_t> bytes(data, size);

  adapters::FrameReader reader;
  reader.Append(bytes);
  while (reader.Next()) {
  }

  static_cast<void>(
      adapters::DecodePeerUpdate({reinterpret_cast<const char*>(data), size}));

  wire::Exchange exchange;
  if (Read(bytes, exchange)) {
    static_cast<void>(adapters::FromWire(exchange));
  }
  wire::CatalogueDelta delta;
  if (Read(bytes, delta)) {
    static_cast<void>(adapters::FromWire(delta));
  }
  return 0;
}
