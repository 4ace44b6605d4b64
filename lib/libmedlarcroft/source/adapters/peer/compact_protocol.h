#ifndef MEDLARCROFT_ADAPTERS_PEER_COMPACT_PROTOCOL_H_
#define MEDLARCROFT_ADAPTERS_PEER_COMPACT_PROTOCOL_H_

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TTransport.h>

#include <cstdint>
#include <memory>
#include <utility>

#include "adapters/peer/frame.h"

namespace medlarcroft::adapters {

/// Most items of a list, set or map in a message; more than the planned number
/// of hosts (880) and the changes of one delta.
inline constexpr std::int32_t kMaxContainerItems = 20'000;

/// @brief Creates the Thrift protocol of all messages, with size limits.
///
/// When a peer announces a list of two thousand million items, Thrift
/// multiplies the count by the item size in 32 bits. The product wraps,
/// Thrift's own size check passes, and the reader runs out of memory. The
/// container limit is checked before the multiplication and keeps the product
/// small enough not to wrap.
[[nodiscard]] inline std::shared_ptr<apache::thrift::protocol::TProtocol>
MakeCompactProtocol(
    std::shared_ptr<apache::thrift::transport::TTransport> transport) {
  return std::make_shared<apache::thrift::protocol::TCompactProtocol>(
      std::move(transport), static_cast<std::int32_t>(kMaxFrameBytes),
      kMaxContainerItems);
}

}  // namespace medlarcroft::adapters

#endif  // MEDLARCROFT_ADAPTERS_PEER_COMPACT_PROTOCOL_H_
